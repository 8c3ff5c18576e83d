package io.masticpond.command.view;

/**
 * Cell of a table.
 *
 * @param text the text, sanitized for output on a terminal
 * @param style the style of the text
 * @since 0.1
 */
public record Cell(String text, Style style) {

    /** Sanitizes the text for output on a terminal. A {@code null} text becomes empty. */
    public Cell {
        text = text == null ? "" : Texts.printable(text);
    }

    /**
     * Creates a cell in the plain style.
     *
     * @param value the value
     * @return the cell
     */
    public static Cell of(Object value) {
        return new Cell(String.valueOf(value), Style.PLAIN);
    }

    /**
     * Creates a cell in the given style.
     *
     * @param value the value
     * @param style the style of the text
     * @return the cell
     */
    public static Cell of(Object value, Style style) {
        return new Cell(String.valueOf(value), style);
    }
}
