package io.masticpond.core.support;

import java.util.Collection;

/**
 * Assertion utility class that validates arguments, with complete sentences as error messages.
 *
 * <p>All methods throw {@link IllegalArgumentException}; none accepts or returns {@code null}
 * unless documented.
 *
 * @since 0.1
 */
public final class Assert {

    private Assert() {}

    /**
     * Asserts that a condition is true.
     *
     * @param condition the condition
     * @param format the error message, in the syntax of {@link String#format}
     * @param arguments the arguments of the error message
     * @throws IllegalArgumentException if the condition is false
     */
    public static void isTrue(boolean condition, String format, Object... arguments) {
        if (!condition) {
            throw new IllegalArgumentException(String.format(format, arguments));
        }
    }

    /**
     * Asserts that a reference is not {@code null}.
     *
     * @param <T> the type of the reference
     * @param value the reference
     * @param name the name of the value in the error message, such as "A region"
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
     * Asserts that a number is positive.
     *
     * @param value the number
     * @param name the name of the value in the error message, such as "A capacity"
     * @return the number
     * @throws IllegalArgumentException if it is zero or negative
     */
    public static long positive(long value, String name) {
        isTrue(value > 0, "%s must be positive, but was %d.", name, value);
        return value;
    }

    /**
     * Asserts that a number is not negative.
     *
     * @param value the number
     * @param name the name of the value in the error message, such as "A price"
     * @return the number
     * @throws IllegalArgumentException if it is negative
     */
    public static long notNegative(long value, String name) {
        isTrue(value >= 0, "%s must not be negative, but was %d.", name, value);
        return value;
    }

    /**
     * Asserts that a text contains at least one character that is not white space.
     *
     * @param value the text
     * @param name the name of the value in the error message, such as "A service id"
     * @return the text
     * @throws IllegalArgumentException if it is {@code null} or blank
     */
    public static String hasText(String value, String name) {
        isTrue(value != null && !value.isBlank(), "%s must have text, but was '%s'.", name, value);
        return value;
    }

    /**
     * Asserts that a collection has at least one element.
     *
     * @param <C> the type of the collection
     * @param value the collection
     * @param name the name of the value in the error message
     * @return the collection
     * @throws IllegalArgumentException if it is {@code null} or empty
     */
    public static <C extends Collection<?>> C notEmpty(C value, String name) {
        isTrue(value != null && !value.isEmpty(), "%s must not be empty.", name);
        return value;
    }
}
