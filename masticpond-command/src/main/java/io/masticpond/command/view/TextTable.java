package io.masticpond.command.view;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Table that fits a given width. The widest columns are truncated, and truncated texts are marked
 * by a tilde.
 *
 * <p>The table of the command line library is not used because it interprets its own markup in the
 * texts, which come from untrusted sources.
 *
 * @since 0.1
 */
public final class TextTable {

    private static final String COLUMN_SEPARATOR = "  ";
    private static final String TRUNCATION_MARK = "~";
    private static final int MINIMUM_COLUMN_WIDTH = 6;

    private final List<Column> mColumns;
    private final List<List<Cell>> mRows = new ArrayList<>();

    /**
     * Creates a table without rows.
     *
     * @param columns the columns
     */
    public TextTable(Column... columns) {
        mColumns = List.of(columns);
    }

    /**
     * Adds a row.
     *
     * @param cells the cells, one for each column
     * @return this table
     */
    public TextTable add(Cell... cells) {
        mRows.add(List.of(cells));
        return this;
    }

    /**
     * Renders the table.
     *
     * @param width the maximum number of characters in a line
     * @param colors whether styles are shown as colours
     * @return the lines, of which the first contains the titles
     */
    public List<String> lines(int width, boolean colors) {
        int[] widths = widths(width);
        List<String> lines = new ArrayList<>();
        lines.add(line(titles(), widths, colors));
        for (List<Cell> row : mRows) {
            lines.add(line(row, widths, colors));
        }
        return lines;
    }

    private List<Cell> titles() {
        return mColumns.stream().map(column -> Cell.of(column.title(), Style.BOLD)).toList();
    }

    private int[] widths(int width) {
        int[] widths = new int[mColumns.size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = mColumns.get(column).title().length();
            for (List<Cell> row : mRows) {
                widths[column] = Math.max(widths[column], row.get(column).text().length());
            }
        }
        shrinkWidest(widths, width - COLUMN_SEPARATOR.length() * (widths.length - 1));
        return widths;
    }

    private static void shrinkWidest(int[] widths, int availableWidth) {
        int excess = Arrays.stream(widths).sum() - availableWidth;
        while (excess > 0) {
            int widest = 0;
            for (int column = 1; column < widths.length; column++) {
                widest = widths[column] > widths[widest] ? column : widest;
            }
            if (widths[widest] <= MINIMUM_COLUMN_WIDTH) {
                return;
            }
            widths[widest]--;
            excess--;
        }
    }

    private String line(List<Cell> row, int[] widths, boolean colors) {
        StringBuilder line = new StringBuilder();
        for (int column = 0; column < widths.length; column++) {
            Cell cell = row.get(column);
            String text = truncate(cell.text(), widths[column]);
            String padded = mColumns.get(column).alignment().pad(text, widths[column]);
            boolean last = column == widths.length - 1;
            line.append(cell.style().apply(last ? padded.stripTrailing() : padded, colors));
            line.append(last ? "" : COLUMN_SEPARATOR);
        }
        return line.toString().stripTrailing();
    }

    private static String truncate(String text, int width) {
        if (text.length() <= width) {
            return text;
        }
        return text.substring(0, Math.max(0, width - TRUNCATION_MARK.length())) + TRUNCATION_MARK;
    }
}
