package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * What all entry instances answered, or why one did not.
 *
 * @param responses a part for each instance, in the order of their names
 * @since 0.2
 */
public record EntryResponses(List<Response> responses) {

    private static final List<Field> VERSIONS =
            List.of(
                    Field.textField("INSTANCE", "instance"),
                    Field.textField("ZONE", "zone"),
                    Field.textField("READY", "ready"),
                    Field.textField("STOPPING", "stopping"),
                    Field.numberField("ROUTES", "routingVersion"),
                    Field.numberField("AGE MS", "routingAgeMillis"),
                    Field.numberField("REVISION", "registryRevision"),
                    Field.numberField("ERA", "storeEra"),
                    Field.numberField("AGE MS", "registryAgeMillis"),
                    Field.textField("STORE LOST", "storeLost"));

    /** Sorts the parts. */
    public EntryResponses {
        responses = responses.stream().sorted(Comparator.comparing(Response::instance)).toList();
    }

    /**
     * What one instance answered.
     *
     * @param instance its name, or its address if that is all that is known
     * @param document the answer, or null
     * @param reason why there is none, a few words; empty if there is one
     */
    public record Response(String instance, JsonNode document, String reason) {

        boolean isMissing() {
            return document == null;
        }
    }

    /**
     * Tells whether all answered.
     *
     * @return whether no part is missing
     */
    public boolean isComplete() {
        return responses.stream().noneMatch(Response::isMissing);
    }

    /**
     * Shows which versions all instances have in force.
     *
     * @param page where to
     */
    public void showVersions(Page page) {
        JsonNode documents =
                JsonNodeFactory.instance
                        .arrayNode()
                        .addAll(answered().map(Response::document).toList());
        page.table(Field.table(VERSIONS, documents));
        page.gap();
        showMissing(page);
    }

    /**
     * Shows the lines of all instances by their times.
     *
     * @param page where to
     */
    public void showLines(Page page) {
        List<JsonNode> lines = lines();
        lines.forEach(line -> EntryLine.show(line, page));
        page.gap();
        page.line(lines.size() + " lines.");
        showMissing(page);
    }

    /**
     * Gives the answers as documents for programs, those that are missing with their reasons.
     *
     * @return a document for each instance
     */
    public List<JsonNode> documents() {
        return responses.stream().map(EntryResponses::document).toList();
    }

    /**
     * Gives the lines of all instances as documents for programs, after a document for each
     * instance.
     *
     * @return the documents, each with a field "type" that is "instance" or "line"
     */
    public List<JsonNode> lineDocuments() {
        Stream<JsonNode> instances =
                responses.stream().map(part -> head(part).put("type", "instance"));
        return Stream.concat(instances, lines().stream()).toList();
    }

    private static JsonNode document(Response part) {
        ObjectNode document = head(part);
        if (!part.isMissing()) {
            document.setAll((ObjectNode) part.document());
        }
        return document;
    }

    private static ObjectNode head(Response part) {
        ObjectNode head = JsonNodeFactory.instance.objectNode().put("instance", part.instance());
        head.put("answered", !part.isMissing());
        return part.isMissing() ? head.put("reason", part.reason()) : head;
    }

    /** Times are spelled with the same digits everywhere, so their texts sort as they do. */
    private List<JsonNode> lines() {
        return answered()
                .flatMap(part -> Stream.of("beliefs", "lines").flatMap(list -> lines(part, list)))
                .sorted(Comparator.comparing(line -> line.path("at").asText()))
                .toList();
    }

    private static Stream<JsonNode> lines(Response part, String list) {
        Stream.Builder<JsonNode> lines = Stream.builder();
        for (JsonNode each : part.document().path(list)) {
            ObjectNode line = JsonNodeFactory.instance.objectNode();
            line.put("type", "line").put("by", part.instance());
            lines.add(line.setAll((ObjectNode) each));
        }
        return lines.build();
    }

    private Stream<Response> answered() {
        return responses.stream().filter(part -> !part.isMissing());
    }

    private void showMissing(Page page) {
        page.line(answered().count() + " of " + responses.size() + " instances answered.");
        for (Response part : responses) {
            if (part.isMissing()) {
                page.line("! No answer of " + part.instance() + ": " + part.reason(), Style.BAD);
            }
        }
    }
}
