package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;

/**
 * Tables of the parts of each service's load: its regions, zones, refusals and slow servers. A part
 * that no service has is left out.
 */
final class LoadTables {

    /** A table with the rows that the services have in one field. */
    private record Part(String name, List<Field> fields) {}

    private static final List<Part> PARTS =
            List.of(
                    new Part(
                            "regions",
                            List.of(
                                    Field.textField("REGION", "region"),
                                    Field.textField("OF", "service"),
                                    Field.numberField("SLOTS", "slots"),
                                    Field.numberField("IN FLIGHT", "inFlight"),
                                    Field.numberField("FREE", "free"),
                                    Field.numberField("WEIGHT", "weight"))),
                    new Part(
                            "zones",
                            List.of(
                                    Field.textField("ZONE", "zone"),
                                    Field.textField("OF", "service"),
                                    Field.numberField("DEMAND/S", "demandPerSecond"),
                                    Field.numberField("SHARE/S", "sharePerSecond"),
                                    Field.numberField("AGE MS", "demandAgeMillis"))),
                    new Part(
                            "refusals",
                            List.of(
                                    Field.textField("REFUSED FOR", "cause"),
                                    Field.textField("OF", "service"),
                                    Field.numberField("PRIORITY", "priority"),
                                    Field.textField("ZONE", "zone"),
                                    Field.textField("WORKSPACE", "workspace"),
                                    Field.numberField("IN 10 S", "count"))),
                    new Part(
                            "slowServers",
                            List.of(
                                    Field.textField("SLOW SERVER", "server"),
                                    Field.textField("OF", "service"),
                                    Field.numberField("SLOWDOWN", "slowdown"),
                                    Field.numberField("AGE MS", "ageMillis"))));

    private LoadTables() {}

    /** Shows the tables of the given services. */
    static void show(JsonNode services, Page page) {
        for (Part part : PARTS) {
            ArrayNode rows = JsonNodeFactory.instance.arrayNode();
            for (JsonNode service : services) {
                service.path(part.name()).forEach(each -> rows.add(row(service, each)));
            }
            if (!rows.isEmpty()) {
                page.blankLine();
                page.table(Field.table(part.fields(), rows));
            }
        }
    }

    /** Returns a row with the name of its service, and the age of the demand it states. */
    private static JsonNode row(JsonNode service, JsonNode part) {
        ObjectNode row = JsonNodeFactory.instance.objectNode();
        row.set("service", service.path("service"));
        if (service.has("demandAgeMillis")) {
            row.set("demandAgeMillis", service.path("demandAgeMillis"));
        }
        return row.setAll((ObjectNode) part);
    }
}
