package io.masticpond.entry.replica;

import java.util.List;

/**
 * Result of a list or a watch.
 *
 * @param documents for a list, all objects of the kind; for a watch, the changes in order
 * @param storeRevision the revision up to which the result is complete; the next watch starts from
 *     it
 * @since 0.2
 */
public record FeedResult(List<StoredDocument> documents, long storeRevision) {}
