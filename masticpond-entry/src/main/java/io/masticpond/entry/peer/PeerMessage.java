package io.masticpond.entry.peer;

import java.util.List;

/**
 * One datagram between instances.
 *
 * @param kind the purpose of the datagram
 * @param sender the sender's heartbeat
 * @param listAfter in a list request, the last id of the list that the sender already has; empty
 *     otherwise
 * @param updates what the sender reports of other instances
 * @since 0.2
 */
public record PeerMessage(
        Kind kind, PeerUpdate sender, String listAfter, List<PeerUpdate> updates) {

    /**
     * Purpose of a datagram. The order is part of the message layout.
     *
     * @since 0.2
     */
    public enum Kind {
        /**
         * Reports that the sender is alive, possibly with updates about others, and requests the
         * same in return.
         */
        HEARTBEAT,
        /** Reports the same, and requests nothing in return. */
        ANSWER,
        /** Requests the place of the receiver. */
        ASK,
        /** Requests the list of members that follow a given id. */
        LIST_ASK,
        /** Answers with the next page of the list; an empty page ends it. */
        LIST_PAGE
    }
}
