package io.masticpond.command.view;

/**
 * Styles of text on a terminal that supports colours.
 *
 * @since 0.1
 */
public enum Style {
    /** No highlighting. */
    PLAIN(""),
    /** Bold, for titles. */
    BOLD("1"),
    /** Faint, for less important text. */
    FAINT("2"),
    /** Green, for a good state or an addition. */
    GOOD("32"),
    /** Yellow, for a warning or a change. */
    WARNING("33"),
    /** Red, for an error or a removal. */
    BAD("31");

    private static final String ESCAPE = "\u001b[";
    private static final String RESET = ESCAPE + "0m";

    private final String mCode;

    Style(String code) {
        mCode = code;
    }

    /**
     * Surrounds a text with the escape codes of this style.
     *
     * @param text the text, already free of control characters
     * @param colors whether the terminal shows colours; if not, the text is returned unchanged
     * @return the text with its escape codes
     */
    public String apply(String text, boolean colors) {
        boolean plain = !colors || mCode.isEmpty() || text.isEmpty();
        return plain ? text : ESCAPE + mCode + "m" + text + RESET;
    }
}
