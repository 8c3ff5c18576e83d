package io.masticpond.core.support;

import java.util.Collection;

/**
 * Checks arguments on arrival and fails with a full sentence.
 *
 * <p>All methods throw {@link IllegalArgumentException}; none accepts or returns {@code null}
 * unless it says so.
 *
 * @since 0.1
 */
public final class Assert {

    private Assert() {}

    /**
     * Requires that a condition holds.
     *
     * @param condition the condition
     * @param format the sentence to fail with, in the syntax of {@link String#format}
     * @param arguments the values that the sentence names
     * @throws IllegalArgumentException if the condition is false
     */
    public static void isTrue(boolean condition, String format, Object... arguments) {
        if (!condition) {
            throw new IllegalArgumentException(String.format(format, arguments));
        }
    }

    /**
     * Requires a reference that is present.
     *
     * @param <T> the type of the reference
     * @param value the reference
     * @param name what the sentence calls it, such as "A region"
     * @return the reference
     * @throws IllegalArgumentException if it is {@code null}
     */
    public static <T> T notNull(T value, String name) {
        if (value == null) {
            throw new IllegalArgumentException(name + " must be given, but was null.");
        }
        return value;
    }

    /**
     * Requires a number above zero.
     *
     * @param value the number
     * @param name what the sentence calls it, such as "A capacity"
     * @return the number
     * @throws IllegalArgumentException if it is zero or negative
     */
    public static long positive(long value, String name) {
        isTrue(value > 0, "%s must be positive, but was %d.", name, value);
        return value;
    }

    /**
     * Requires a number that is not negative.
     *
     * @param value the number
     * @param name what the sentence calls it, such as "A price"
     * @return the number
     * @throws IllegalArgumentException if it is negative
     */
    public static long notNegative(long value, String name) {
        isTrue(value >= 0, "%s must not be negative, but was %d.", name, value);
        return value;
    }

    /**
     * Requires text with at least one character that is not white space.
     *
     * @param value the text
     * @param name what the sentence calls it, such as "A service id"
     * @return the text
     * @throws IllegalArgumentException if it is {@code null} or blank
     */
    public static String hasText(String value, String name) {
        isTrue(value != null && !value.isBlank(), "%s must have text, but was '%s'.", name, value);
        return value;
    }

    /**
     * Requires a collection with at least one element.
     *
     * @param <C> the type of the collection
     * @param value the collection
     * @param name what the sentence calls it
     * @return the collection
     * @throws IllegalArgumentException if it is {@code null} or empty
     */
    public static <C extends Collection<?>> C notEmpty(C value, String name) {
        isTrue(value != null && !value.isEmpty(), "%s must not be empty.", name);
        return value;
    }
}
