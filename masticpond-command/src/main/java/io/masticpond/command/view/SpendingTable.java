package io.masticpond.command.view;

import io.masticpond.command.client.SpendingAnswer;

/**
 * Renderer of the spending of services as a table.
 *
 * @since 0.1
 */
public final class SpendingTable {

    private static final double NEAR_SHARE = 0.9;

    private SpendingTable() {}

    /**
     * Shows a row for each service and shift.
     *
     * @param answer the spending
     * @param page the page to write to
     */
    public static void show(SpendingAnswer answer, Page page) {
        TextTable table =
                new TextTable(
                        Column.textColumn("SERVICE"),
                        Column.textColumn("SHIFT"),
                        Column.textColumn("ENDS"),
                        Column.numberColumn("CAP"),
                        Column.numberColumn("ALLOTTED"),
                        Column.numberColumn("SHARE"),
                        Column.numberColumn("FORECAST"),
                        Column.numberColumn("HELD HERE"),
                        Column.numberColumn("SPENT HERE"),
                        Column.textColumn("STATE"));
        for (SpendingAnswer.Entry entry : answer.spendings()) {
            boolean isNearCap = entry.allottedMicros() >= NEAR_SHARE * entry.capMicros();
            boolean isOverCap = entry.forecastMicros() > entry.capMicros();
            table.add(
                    Cell.of(entry.service()),
                    Cell.of(entry.shift()),
                    Cell.of(entry.end()),
                    Cell.of(Texts.money(entry.capMicros())),
                    Cell.of(Texts.money(entry.allottedMicros())),
                    Cell.of(
                            Texts.percent(entry.allottedMicros(), entry.capMicros()),
                            isNearCap ? Style.WARNING : Style.PLAIN),
                    Cell.of(
                            Texts.money(entry.forecastMicros()),
                            isOverCap ? Style.WARNING : Style.PLAIN),
                    Cell.of(Texts.money(entry.availableMicros())),
                    Cell.of(Texts.money(entry.spentMicros())),
                    Cell.of(entry.state()));
        }
        page.table(table);
    }
}
