package io.masticpond.measure;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Immutable table of a report.
 *
 * @param title what the table shows
 * @param columns the titles of the columns, with units
 * @param rows the cells by row, as many in each row as there are columns
 * @since 0.1
 */
public record MeasureTable(String title, List<String> columns, List<List<String>> rows) {

    /**
     * Checks the number of cells in each row, and copies the lists.
     *
     * @throws IllegalArgumentException if the number of cells in a row differs from the number of
     *     columns
     */
    public MeasureTable {
        Assert.hasText(title, "The title of a table");
        columns = List.copyOf(Assert.notEmpty(columns, "The columns of a table"));
        rows = rows.stream().map(List::copyOf).toList();
        for (List<String> row : rows) {
            Assert.isTrue(
                    row.size() == columns.size(),
                    "A row of table '%s' must have %d cells, but had %d.",
                    title,
                    columns.size(),
                    row.size());
        }
    }
}
