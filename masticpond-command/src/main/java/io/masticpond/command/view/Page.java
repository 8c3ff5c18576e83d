package io.masticpond.command.view;

import java.io.PrintWriter;

/**
 * Text output of lines and tables with a fixed width.
 *
 * @param writer the writer to write to
 * @param width the maximum number of characters in a line of a table
 * @param colors whether styles are shown as colours
 * @since 0.1
 */
public record Page(PrintWriter writer, int width, boolean colors) {

    /**
     * Writes a line.
     *
     * @param text the text, which may come from an untrusted source
     */
    public void line(String text) {
        line(text, Style.PLAIN);
    }

    /**
     * Writes a line in the given style.
     *
     * @param text the text, which may come from an untrusted source
     * @param style the style of the line
     */
    public void line(String text, Style style) {
        writer.println(style.apply(Texts.printable(text), colors));
    }

    /** Writes an empty line. */
    public void blankLine() {
        writer.println();
    }

    /**
     * Writes a table.
     *
     * @param table the table
     */
    public void table(TextTable table) {
        table.lines(width, colors).forEach(writer::println);
    }
}
