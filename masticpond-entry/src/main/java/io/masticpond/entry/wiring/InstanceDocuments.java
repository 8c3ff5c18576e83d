package io.masticpond.entry.wiring;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.replica.StoreRestoreTracker;
import io.masticpond.entry.replica.StoredDocument;
import java.util.List;
import java.util.Optional;

/** Serializer of the documents by which instances discover each other in the platform's store. */
final class InstanceDocuments {

    private static final String INCARNATION = "incarnation";
    private static final String ZONE = "zone";
    private static final String REGION = "region";
    private static final String ENTRY = "entry";
    private static final String INTERNAL = "internal";
    private static final String ERA = "era";

    private InstanceDocuments() {}

    /** Returns the document of an instance. */
    static JsonNode write(PeerInstance instance, long era) {
        ObjectNode document = JsonNodeFactory.instance.objectNode();
        document.put(INCARNATION, instance.incarnation());
        document.put(ZONE, instance.zone().value());
        document.put(REGION, instance.region().value());
        document.put(ENTRY, instance.entry().toString());
        document.put(INTERNAL, instance.internal().toString());
        document.put(ERA, era);
        return document;
    }

    /**
     * Returns the newest era of the store in which an instance has settled, or {@link
     * StoreRestoreTracker#UNREPORTED} if none reports one.
     */
    static long newestEra(List<StoredDocument> documents) {
        return documents.stream()
                .mapToLong(each -> each.content().path(ERA).asLong(StoreRestoreTracker.UNREPORTED))
                .max()
                .orElse(StoreRestoreTracker.UNREPORTED);
    }

    /** Returns the instances whose documents are valid. */
    static List<PeerInstance> readAll(List<StoredDocument> documents) {
        return documents.stream()
                .map(document -> read(document.name(), document.content()))
                .flatMap(Optional::stream)
                .toList();
    }

    /** Returns the instance of a document, or empty if the document is invalid. */
    static Optional<PeerInstance> read(String name, JsonNode document) {
        try {
            return Optional.of(
                    new PeerInstance(
                            new InstanceId(name),
                            document.path(INCARNATION).asLong(),
                            new ZoneId(document.path(ZONE).asText()),
                            new RegionId(document.path(REGION).asText()),
                            ServerAddress.parse(document.path(ENTRY).asText()),
                            ServerAddress.parse(document.path(INTERNAL).asText()),
                            false,
                            0));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
