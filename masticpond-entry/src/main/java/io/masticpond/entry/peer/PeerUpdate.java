package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/**
 * Immutable state of an instance at a given heartbeat.
 *
 * @param id the instance
 * @param incarnation the number of its run
 * @param sequence the number of the heartbeat that this is based on; later ones supersede earlier
 *     ones
 * @param revision the revision of the platform's store that it had
 * @param state what it was doing
 * @param place its place, absent where the receiver knows it
 * @since 0.2
 */
public record PeerUpdate(
        InstanceId id,
        long incarnation,
        long sequence,
        long revision,
        State state,
        Optional<PeerPlace> place) {

    /**
     * State of an instance, as far as others need it. The order is part of the message layout.
     *
     * @since 0.2
     */
    public enum State {
        /** Runs, and takes no new clients yet. */
        STARTING,
        /** Takes clients. */
        READY,
        /** Has begun a planned stop. */
        LEAVING,
        /** One of its neighbors no longer receives its heartbeats. */
        SILENT
    }

    /** Returns the same update with another place, or without one. */
    PeerUpdate withPlace(Optional<PeerPlace> place) {
        return new PeerUpdate(id, incarnation, sequence, revision, state, place);
    }

    /**
     * Determines whether this update is later than the given incarnation and sequence of the same
     * instance.
     */
    boolean isLaterThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation
                || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
