package io.masticpond.entry.peer;

import java.util.List;

/**
 * One datagram between instances.
 *
 * @param kind what the sender wants
 * @param sender the sender's heartbeat
 * @param listAfter the last id that the sender has of the list that it asks for, else empty
 * @param updates what the sender tells of others
 * @since 0.2
 */
public record PeerMessage(
        Kind kind, PeerUpdate sender, String listAfter, List<PeerUpdate> updates) {

    /**
     * What a datagram is for. The order is part of the message layout.
     *
     * @since 0.2
     */
    public enum Kind {
        /** Tells that the sender lives, and perhaps news of others, and wants the same back. */
        HEARTBEAT,
        /** Tells the same, and wants nothing back. */
        ANSWER,
        /** Asks the hearer to tell its place. */
        ASK,
        /** Asks for the list of members, from the one after an id on. */
        LIST_ASK,
        /** Answers with the next part of the list; an empty one ends it. */
        LIST_PAGE
    }
}
