package io.masticpond.core.id;

import io.masticpond.core.support.Assert;
import java.util.regex.Pattern;

/** Utility class that validates the text of identifiers, with the same rules for every kind. */
final class Identifiers {

    /** Maximum length of an identifier, in characters. */
    static final int MAXIMUM_LENGTH = 64;

    private static final Pattern ALLOWED = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]*");

    private Identifiers() {}

    /**
     * Validates an identifier.
     *
     * @param value the text
     * @param name the name of the identifier in the error message
     * @return the text
     * @throws IllegalArgumentException if it is empty, is too long, or has characters other than
     *     letters, digits, dots, underscores and hyphens
     */
    static String check(String value, String name) {
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
}
