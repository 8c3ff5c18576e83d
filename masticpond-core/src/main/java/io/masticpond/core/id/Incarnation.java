package io.masticpond.core.id;

import io.masticpond.core.support.Assert;

/**
 * Run of an instance, distinguished from earlier runs by its number; a higher number is a later
 * run.
 *
 * @param instance the instance
 * @param number the start of the run in milliseconds since the epoch, positive
 * @since 0.1
 */
public record Incarnation(InstanceId instance, long number) {

    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if the number is not positive
     */
    public Incarnation {
        Assert.notNull(instance, "An instance id");
        Assert.positive(number, "An incarnation number");
    }

    /**
     * Parses the text form "instance@number" that {@link #toString} returns.
     *
     * @param text the text form
     * @return the incarnation
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Incarnation parse(String text) {
        int at = text.lastIndexOf('@');
        Assert.isTrue(at > 0, "An incarnation must be 'instance@number', but was '%s'.", text);
        return new Incarnation(
                new InstanceId(text.substring(0, at)), Long.parseLong(text.substring(at + 1)));
    }

    @Override
    public String toString() {
        return instance + "@" + number;
    }
}
