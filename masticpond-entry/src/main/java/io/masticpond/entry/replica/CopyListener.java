package io.masticpond.entry.replica;

/** Callback interface for changes of the documents of a copy. */
interface CopyListener {

    /**
     * Called for a document that is new or newer than before.
     *
     * @param document the document, not deleted
     * @param stateNanos the monotonic time of the state that it describes
     */
    void changed(StoredDocument document, long stateNanos);

    /**
     * Returns whether a document is older than another by the order of its writers. The store's
     * revisions do not show this once the store was restored from an older copy.
     *
     * @param document the document held by the store or a peer
     * @param other the same document as known before
     * @return whether the other must be kept; {@code false} if the writers define no order
     */
    default boolean isSuperseded(StoredDocument document, StoredDocument other) {
        return false;
    }

    /**
     * Called when the known document is still the newest although the store has listed an older
     * one.
     *
     * @param revision the revision of the older document
     */
    default void retained(long revision) {}

    /**
     * Called when a document was removed.
     *
     * @param name its name
     * @param revision the revision of its deletion, or of the list that lacked it
     */
    void removed(String name, long revision);
}
