package io.masticpond.core.id;

import io.masticpond.core.support.Assert;
import java.util.regex.Pattern;

/**
 * Utility methods that validate the text of identifiers.
 *
 * <p>Identifiers that this system creates, or accepts from its own operators, have a restricted
 * form, so that they fit into paths and addresses without encoding. Names that a platform gives to
 * its objects are only keys here, and may have any text.
 *
 * @since 0.1
 */
public final class Identifiers {

    /** Maximum length of an identifier, in characters. */
    static final int MAXIMUM_LENGTH = 64;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Identifiers() {}

    /**
     * Validates an identifier of this system.
     *
     * @param value the text
     * @param name the name of the identifier in the error message
     * @return the text
     * @throws IllegalArgumentException if it is empty, is too long, or has characters other than
     *     letters, digits, dots, underscores and hyphens
     */
    public static String check(String value, String name) {
        Assert.hasText(value, name);
        Assert.isTrue(
                value.length() <= MAXIMUM_LENGTH,
                "%s must have at most %d characters, but had %d.",
                name,
                MAXIMUM_LENGTH,
                value.length());
        Assert.isTrue(
                ALLOWED.matcher(value).matches(),
                "%s must have only letters, digits, '.', '_' and '-', but was '%s'.",
                name,
                value);
        return value;
    }

    /**
     * Validates the name of an object of the platform, which may have any text that is not empty.
     *
     * @param value the text
     * @param name the name of the identifier in the error message
     * @return the text
     * @throws IllegalArgumentException if it is empty
     */
    static String checkName(String value, String name) {
        Assert.notNull(value, name);
        Assert.isTrue(!value.isEmpty(), "%s must not be empty.", name);
        return value;
    }
}
