package io.masticpond.command.view;

/**
 * Column of a table.
 *
 * @param title the title
 * @param alignment the alignment of its texts
 * @since 0.1
 */
public record Column(String title, Alignment alignment) {

    /** Alignment of a text in its column. */
    public enum Alignment {
        /** Left-aligned, for words. */
        LEFT {
            @Override
            String pad(String text, int width) {
                return text + " ".repeat(Math.max(0, width - text.length()));
            }
        },
        /** Right-aligned, for numbers. */
        RIGHT {
            @Override
            String pad(String text, int width) {
                return " ".repeat(Math.max(0, width - text.length())) + text;
            }
        };

        /** Pads a text with spaces to the given width. */
        abstract String pad(String text, int width);
    }

    /**
     * Creates a column of words.
     *
     * @param title the title
     * @return the column
     */
    public static Column textColumn(String title) {
        return new Column(title, Alignment.LEFT);
    }

    /**
     * Creates a column of numbers.
     *
     * @param title the title
     * @return the column
     */
    public static Column numberColumn(String title) {
        return new Column(title, Alignment.RIGHT);
    }
}
