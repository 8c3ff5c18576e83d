package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Responses of all entry instances, with the reason for each missing one.
 *
 * @param responses the responses, one for each instance, ordered by the names of the instances
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

    /** Sorts the responses by the names of the instances. */
    public EntryResponses {
        responses = responses.stream().sorted(Comparator.comparing(Response::instance)).toList();
    }

    /**
     * Response of an instance, or the reason for its absence.
     *
     * @param instance the name of the instance, or its address if the name is not known
     * @param document the document, or {@code null} if the instance did not respond
     * @param reason the reason for a missing document, a few words; empty if there is a document
     */
    public record Response(String instance, JsonNode document, String reason) {

        boolean isMissing() {
            return document == null;
        }
    }

    /**
     * Returns whether all instances responded.
     *
     * @return whether no response is missing
     */
    public boolean isComplete() {
        return responses.stream().noneMatch(Response::isMissing);
    }

    /**
     * Shows the versions that are in force at each instance.
     *
     * @param page the page to write to
     */
    public void showVersions(Page page) {
        JsonNode documents =
                JsonNodeFactory.instance
                        .arrayNode()
                        .addAll(answered().map(Response::document).toList());
        page.table(Field.table(VERSIONS, documents));
        page.blankLine();
        showMissing(page);
    }

    /**
     * Shows the log lines of all instances, ordered by time.
     *
     * @param page the page to write to
     */
    public void showLines(Page page) {
        List<JsonNode> lines = lines();
        lines.forEach(line -> EntryLine.show(line, page));
        page.blankLine();
        page.line(lines.size() + " lines.");
        showMissing(page);
    }

    /**
     * Returns the responses as documents, the missing ones with their reasons.
     *
     * @return a document for each instance
     */
    public List<JsonNode> documents() {
        return responses.stream().map(EntryResponses::document).toList();
    }

    /**
     * Returns a document for each instance, followed by a document for each log line.
     *
     * @return the documents, each with a field {@code type} that is {@code instance} or {@code
     *     line}
     */
    public List<JsonNode> lineDocuments() {
        Stream<JsonNode> instances =
                responses.stream().map(response -> header(response).put("type", "instance"));
        return Stream.concat(instances, lines().stream()).toList();
    }

    private static JsonNode document(Response response) {
        ObjectNode document = header(response);
        if (!response.isMissing()) {
            document.setAll((ObjectNode) response.document());
        }
        return document;
    }

    private static ObjectNode header(Response response) {
        ObjectNode header =
                JsonNodeFactory.instance.objectNode().put("instance", response.instance());
        header.put("answered", !response.isMissing());
        return response.isMissing() ? header.put("reason", response.reason()) : header;
    }

    /**
     * Returns the lines of all instances, ordered by time. All times have the same number of
     * digits, so their texts sort chronologically.
     */
    private List<JsonNode> lines() {
        return answered()
                .flatMap(
                        response ->
                                Stream.of("beliefs", "lines")
                                        .flatMap(list -> lines(response, list)))
                .sorted(Comparator.comparing(line -> line.path("at").asText()))
                .toList();
    }

    private static Stream<JsonNode> lines(Response response, String list) {
        Stream.Builder<JsonNode> lines = Stream.builder();
        for (JsonNode each : response.document().path(list)) {
            ObjectNode line = JsonNodeFactory.instance.objectNode();
            line.put("type", "line").put("by", response.instance());
            lines.add(line.setAll((ObjectNode) each));
        }
        return lines.build();
    }

    private Stream<Response> answered() {
        return responses.stream().filter(response -> !response.isMissing());
    }

    private void showMissing(Page page) {
        page.line(answered().count() + " of " + responses.size() + " instances answered.");
        for (Response response : responses) {
            if (response.isMissing()) {
                page.line(
                        "! No answer of " + response.instance() + ": " + response.reason(),
                        Style.BAD);
            }
        }
    }
}
