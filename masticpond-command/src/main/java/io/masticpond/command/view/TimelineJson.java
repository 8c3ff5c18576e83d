package io.masticpond.command.view;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/**
 * Converter of a timeline to JSON documents: one for each instance, followed by one for each event.
 *
 * @since 0.1
 */
public final class TimelineJson {

    private static final ObjectMapper sMapper = new ObjectMapper();

    private TimelineJson() {}

    /**
     * Converts a timeline to documents.
     *
     * @param timeline the timeline
     * @return the documents, each with a field {@code type} that is {@code instance} or {@code
     *     event}
     */
    public static List<JsonNode> documents(MergedTimeline timeline) {
        List<JsonNode> documents = new ArrayList<>();
        for (Lane lane : timeline.lanes()) {
            documents.add(instance(lane));
        }
        for (MergedTimeline.Entry entry : timeline.entries()) {
            ObjectNode document = sMapper.createObjectNode();
            document.put("type", "event");
            document.put("instance", entry.instance());
            document.setAll((ObjectNode) sMapper.valueToTree(entry.event()));
            documents.add(document);
        }
        return documents;
    }

    private static ObjectNode instance(Lane lane) {
        ObjectNode document = sMapper.createObjectNode();
        document.put("type", "instance");
        document.put("instance", lane.instance());
        document.put("state", lane.state().name());
        document.put("reason", lane.reason());
        document.put("incarnation", lane.incarnation());
        document.put("overwritten", lane.overwritten());
        return document;
    }
}
