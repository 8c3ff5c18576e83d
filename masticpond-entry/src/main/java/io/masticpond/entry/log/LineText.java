package io.masticpond.entry.log;

/**
 * Utility methods that truncate text from outside the process, which bounds the length of a line.
 */
final class LineText {

    private static final int MAXIMUM_NAME_LENGTH = 128;
    private static final String ELLIPSIS = "...";

    private LineText() {}

    /** Truncates a name to the maximum length of names; the JSON generator escapes it. */
    static String of(String text) {
        return truncate(text, MAXIMUM_NAME_LENGTH);
    }

    /** Truncates a text to a maximum length; returns an empty text for null. */
    static String truncate(String text, int maximumLength) {
        if (text == null) {
            return "";
        }
        if (text.length() <= maximumLength) {
            return text;
        }
        // JSON cannot carry half of a surrogate pair.
        boolean isCutInPair = Character.isHighSurrogate(text.charAt(maximumLength - 1));
        return text.substring(0, isCutInPair ? maximumLength - 1 : maximumLength) + ELLIPSIS;
    }
}
