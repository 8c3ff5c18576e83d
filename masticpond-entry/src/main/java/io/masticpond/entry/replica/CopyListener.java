package io.masticpond.entry.replica;

/** Hears which documents of a copy have changed. */
interface CopyListener {

    /**
     * Hears a document that is new or newer than before.
     *
     * @param document the document, not deleted
     * @param stateNanos the monotonic time of which it tells
     */
    void changed(StoredDocument document, long stateNanos);

    /**
     * Tells by the order of those who write whether a document is older than another. The store's
     * own order does not tell once it has come back from an older copy.
     *
     * @param document what the store holds, or a peer
     * @param other the same document as known before
     * @return whether the other must stay; false where writers give no order
     */
    default boolean isOvertaken(StoredDocument document, StoredDocument other) {
        return false;
    }

    /**
     * Hears that a document is the newest still, though its store has listed an older one.
     *
     * @param revision the revision of the older one
     */
    default void retained(long revision) {}

    /**
     * Hears that a document is gone.
     *
     * @param name its name
     * @param revision the revision of its deletion, or of the list that lacked it
     */
    void removed(String name, long revision);
}
