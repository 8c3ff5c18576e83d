package io.masticpond.command.view;

import io.masticpond.command.client.PlanAnswer;
import io.masticpond.command.client.PlanAnswer.Difference;
import io.masticpond.command.client.PlanAnswer.Load;
import io.masticpond.command.client.PlanAnswer.Spending;
import java.util.List;

/**
 * Renderer of a plan as a list of differences with its predictions.
 *
 * @since 0.1
 */
public final class PlanView {

    private static final double BUSY_SHARE = 0.8;

    private PlanView() {}

    /**
     * Shows a plan.
     *
     * @param plan the plan
     * @param page the page to write to
     */
    public static void show(PlanAnswer plan, Page page) {
        page.line("Plan " + plan.id() + " on version " + plan.base(), Style.BOLD);
        page.line("Made by " + plan.operator() + ", can be confirmed until " + plan.expires());
        page.blankLine();
        page.line("Changes (" + plan.differences().size() + ")", Style.BOLD);
        showDifferences(plan.differences(), page);
        showLoads(plan.loads(), page);
        showSpendings(plan.spendings(), page);
        for (String warning : plan.warnings()) {
            page.line("! " + warning, Style.WARNING);
        }
    }

    /**
     * Shows differences, a line for each.
     *
     * @param differences the differences
     * @param page the page to write to
     */
    public static void showDifferences(List<Difference> differences, Page page) {
        for (Difference difference : differences) {
            page.line("  " + textOf(difference), styleOf(difference.kind()));
        }
        if (differences.isEmpty()) {
            page.line("  none");
        }
        page.blankLine();
    }

    private static String textOf(Difference difference) {
        String path = difference.path();
        return switch (difference.kind()) {
            case ADDED -> "+ " + path + ": " + difference.after();
            case REMOVED -> "- " + path + ": " + difference.before();
            case CHANGED -> "~ " + path + ": " + difference.before() + " -> " + difference.after();
        };
    }

    private static Style styleOf(PlanAnswer.Kind kind) {
        return switch (kind) {
            case ADDED -> Style.GOOD;
            case REMOVED -> Style.BAD;
            case CHANGED -> Style.WARNING;
        };
    }

    private static void showLoads(List<Load> loads, Page page) {
        if (loads.isEmpty()) {
            return;
        }
        TextTable table =
                new TextTable(
                        Column.textColumn("SERVICE"),
                        Column.textColumn("REGION"),
                        Column.numberColumn("SLOTS"),
                        Column.numberColumn("IN USE"),
                        Column.numberColumn("USE"),
                        Column.textColumn("BASIS"));
        for (Load load : loads) {
            table.add(
                    Cell.of(load.service()),
                    Cell.of(load.region()),
                    Cell.of(load.slots()),
                    Cell.of(Math.round(load.slotsInUse())),
                    Cell.of(Texts.percent(load.slotsInUse(), load.slots()), styleOf(load)),
                    Cell.of(load.observed() ? "observed" : "assumed"));
        }
        page.line("Load after the change", Style.BOLD);
        page.table(table);
        page.blankLine();
    }

    private static Style styleOf(Load load) {
        if (load.slotsInUse() > load.slots()) {
            return Style.BAD;
        }
        return load.slotsInUse() > BUSY_SHARE * load.slots() ? Style.WARNING : Style.PLAIN;
    }

    private static void showSpendings(List<Spending> spendings, Page page) {
        if (spendings.isEmpty()) {
            return;
        }
        TextTable table =
                new TextTable(
                        Column.textColumn("SERVICE"),
                        Column.textColumn("SHIFT"),
                        Column.numberColumn("CAP"),
                        Column.numberColumn("EXPECTED"),
                        Column.numberColumn("ALLOTTED"));
        for (Spending spending : spendings) {
            long expected = spending.expectedMicros().orElse(0);
            Style style = expected > spending.capMicros() ? Style.WARNING : Style.PLAIN;
            table.add(
                    Cell.of(spending.service()),
                    Cell.of(spending.shift()),
                    Cell.of(Texts.money(spending.capMicros())),
                    Cell.of(Texts.money(spending.expectedMicros()), style),
                    Cell.of(Texts.money(spending.allottedMicros())));
        }
        page.line("Spending of a shift after the change", Style.BOLD);
        page.table(table);
        page.blankLine();
    }
}
