package io.masticpond.core.id;

import io.masticpond.core.support.Assert;

/**
 * Version of an accepted configuration, numbered in the order of acceptance.
 *
 * @param number 0 for the empty configuration before the first accepted one
 * @since 0.1
 */
public record ConfigurationVersion(long number) implements Comparable<ConfigurationVersion> {

    /** The version before any configuration was accepted. */
    public static final ConfigurationVersion NONE = new ConfigurationVersion(0);

    /**
     * Validates the number.
     *
     * @throws IllegalArgumentException if the number is negative
     */
    public ConfigurationVersion {
        Assert.notNegative(number, "A configuration version");
    }

    /**
     * Returns the next version.
     *
     * @return the next version
     */
    public ConfigurationVersion next() {
        return new ConfigurationVersion(number + 1);
    }

    /**
     * Returns whether this version was accepted after another.
     *
     * @param other the other version
     * @return whether this version is higher
     */
    public boolean isAfter(ConfigurationVersion other) {
        return number > other.number;
    }

    @Override
    public int compareTo(ConfigurationVersion other) {
        return Long.compare(number, other.number);
    }

    @Override
    public String toString() {
        return Long.toString(number);
    }
}
