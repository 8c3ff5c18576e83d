package io.masticpond.command.view;

/**
 * A column of a table.
 *
 * @param title the title
 * @param alignment where its texts stand
 * @since 0.1
 */
public record Column(String title, Alignment alignment) {

    /** Where a text stands in its column. */
    public enum Alignment {
        /** At the left, as words do. */
        LEFT {
            @Override
            String pad(String text, int width) {
                return text + " ".repeat(Math.max(0, width - text.length()));
            }
        },
        /** At the right, as numbers do. */
        RIGHT {
            @Override
            String pad(String text, int width) {
                return " ".repeat(Math.max(0, width - text.length())) + text;
            }
        };

        /** Fills a text up with spaces. */
        abstract String pad(String text, int width);
    }

    /**
     * Makes a column of words.
     *
     * @param title the title
     * @return the column
     */
    public static Column textColumn(String title) {
        return new Column(title, Alignment.LEFT);
    }

    /**
     * Makes a column of numbers.
     *
     * @param title the title
     * @return the column
     */
    public static Column numberColumn(String title) {
        return new Column(title, Alignment.RIGHT);
    }
}
