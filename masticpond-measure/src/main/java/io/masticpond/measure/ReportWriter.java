package io.masticpond.measure;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Writer of reports as text: Markdown tables, and the figures as one JSON object. */
final class ReportWriter {

    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Formats the tables of a report, with a table of the figures last.
     *
     * @param report the report
     * @return the tables in Markdown
     */
    String tables(MeasureReport report) {
        StringBuilder text = new StringBuilder();
        for (MeasureTable table : report.tables()) {
            appendTable(text, table);
        }
        if (!report.figures().isEmpty()) {
            appendTable(text, figureTable(report.figures()));
        }
        return text.toString();
    }

    /**
     * Formats the figures of a report as one JSON object. A figure that is not finite becomes
     * {@code null}.
     *
     * @param report the report
     * @return the JSON object on one line
     */
    String json(MeasureReport report) {
        ObjectNode node = mMapper.createObjectNode();
        for (Map.Entry<String, MeasureReport.Figure> each : report.figures().entrySet()) {
            putFigure(node, each.getKey(), each.getValue().value());
        }
        try {
            return mMapper.writeValueAsString(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A report could not be written as JSON.", e);
        }
    }

    private static void putFigure(ObjectNode node, String name, double value) {
        if (!Double.isFinite(value)) {
            node.putNull(name);
        } else if (value == Math.rint(value)) {
            node.put(name, (long) value);
        } else {
            node.put(name, value);
        }
    }

    private static MeasureTable figureTable(Map<String, MeasureReport.Figure> figures) {
        List<List<String>> rows = new ArrayList<>();
        for (Map.Entry<String, MeasureReport.Figure> each : figures.entrySet()) {
            MeasureReport.Figure figure = each.getValue();
            rows.add(
                    List.of(
                            each.getKey(),
                            MeasureTarget.format(figure.value()),
                            figure.target().text(),
                            metText(figure)));
        }
        return new MeasureTable("Figures", List.of("figure", "value", "target", "met"), rows);
    }

    private static String metText(MeasureReport.Figure figure) {
        if (figure.target().equals(MeasureTarget.NONE)) {
            return "";
        }
        return figure.target().isMetBy(figure.value()) ? "yes" : "no";
    }

    private static void appendTable(StringBuilder text, MeasureTable table) {
        int[] widths = columnWidths(table);
        text.append("**").append(table.title()).append("**\n\n");
        appendRow(text, table.columns(), widths);
        List<String> separators = new ArrayList<>();
        for (int width : widths) {
            separators.add("-".repeat(width));
        }
        appendRow(text, separators, widths);
        for (List<String> row : table.rows()) {
            appendRow(text, row, widths);
        }
        text.append('\n');
    }

    private static int[] columnWidths(MeasureTable table) {
        int[] widths = new int[table.columns().size()];
        for (int column = 0; column < widths.length; column++) {
            widths[column] = Math.max(3, table.columns().get(column).length());
            for (List<String> row : table.rows()) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        return widths;
    }

    private static void appendRow(StringBuilder text, List<String> cells, int[] widths) {
        text.append('|');
        for (int column = 0; column < widths.length; column++) {
            String cell = cells.get(column);
            text.append(' ').append(cell).append(" ".repeat(widths[column] - cell.length()));
            text.append(" |");
        }
        text.append('\n');
    }
}
