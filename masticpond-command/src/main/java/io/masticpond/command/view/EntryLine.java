package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Formatter of an entry of the log of an instance: its plain values on one line, and its objects
 * and arrays, such as attempts, indented below.
 */
final class EntryLine {

    private static final Set<String> HEADER_FIELDS = Set.of("type", "by", "at", "event");

    private EntryLine() {}

    static void show(JsonNode line, Page page) {
        List<String> values = new ArrayList<>();
        List<String> details = new ArrayList<>();
        Iterator<Map.Entry<String, JsonNode>> fields = line.fields();
        while (fields.hasNext()) {
            Map.Entry<String, JsonNode> field = fields.next();
            if (field.getValue().isArray()) {
                field.getValue().forEach(each -> details.add(field.getKey() + ": " + values(each)));
            } else if (field.getValue().isObject()) {
                details.add(field.getKey() + ": " + values(field.getValue()));
            } else if (!HEADER_FIELDS.contains(field.getKey())) {
                values.add(field.getKey() + "=" + field.getValue().asText());
            }
        }
        page.line(
                line.path("at").asText()
                        + "  "
                        + line.path("by").asText()
                        + "  "
                        + line.path("event").asText()
                        + "  "
                        + String.join(" ", values));
        details.forEach(each -> page.line("    " + each, Style.FAINT));
    }

    private static String values(JsonNode object) {
        List<String> values = new ArrayList<>();
        object.fields()
                .forEachRemaining(
                        each -> values.add(each.getKey() + "=" + Field.text(each.getValue())));
        return String.join(" ", values);
    }
}
