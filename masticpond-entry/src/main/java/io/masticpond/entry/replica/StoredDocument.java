package io.masticpond.entry.replica;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Object of the store, opaque except for its name and revision.
 *
 * @param category its kind
 * @param name its name
 * @param revision the revision of its last change
 * @param deleted whether it has been deleted, with {@code revision} then that of the deletion
 * @param content the platform's document, passed between instances unchanged
 * @since 0.2
 */
public record StoredDocument(
        Category category, String name, long revision, boolean deleted, JsonNode content) {

    StoredDocument at(long otherRevision) {
        return new StoredDocument(category, name, otherRevision, deleted, content);
    }
}
