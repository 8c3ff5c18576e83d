package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Column of a table that shows one field of each document. */
record Field(Column column, String name) {

    static Field textField(String title, String name) {
        return new Field(Column.textColumn(title), name);
    }

    static Field numberField(String title, String name) {
        return new Field(Column.numberColumn(title), name);
    }

    /** Creates a table with a row for each document. */
    static TextTable table(List<Field> fields, JsonNode documents) {
        TextTable table = new TextTable(fields.stream().map(Field::column).toArray(Column[]::new));
        for (JsonNode document : documents) {
            table.add(
                    fields.stream()
                            .map(field -> Cell.of(text(document.path(field.name()))))
                            .toArray(Cell[]::new));
        }
        return table;
    }

    /** Formats a value compactly. A missing value is shown as a dash. */
    static String text(JsonNode value) {
        if (value.isMissingNode() || value.isNull()) {
            return "-";
        }
        if (value.isValueNode()) {
            return value.asText();
        }
        List<String> parts = new ArrayList<>();
        if (value.isArray()) {
            value.forEach(each -> parts.add(text(each)));
            return parts.isEmpty() ? "-" : String.join(",", parts);
        }
        value.fields().forEachRemaining(each -> parts.add(text(each.getValue())));
        return String.join(":", parts);
    }
}
