package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;
import java.util.Optional;

/**
 * What is known of an instance at a moment of its own.
 *
 * @param id the instance
 * @param incarnation its run
 * @param sequence the heartbeat that this rests on; later ones count more
 * @param revision the revision of the platform's store that it had
 * @param state what it did
 * @param place where it is, absent where the hearer knows
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
     * What an instance does, as far as others must know. The order is part of the message layout.
     *
     * @since 0.2
     */
    public enum State {
        /** It runs and takes no new clients yet. */
        STARTING,
        /** It takes clients. */
        READY,
        /** It has begun a planned stop. */
        LEAVING,
        /** One of its neighbors hears nothing of it any more. */
        SILENT
    }

    /** Gives the same news with or without the place. */
    PeerUpdate withPlace(Optional<PeerPlace> place) {
        return new PeerUpdate(id, incarnation, sequence, revision, state, place);
    }

    /** Tells whether these news are of a later moment than others of the same instance. */
    boolean isLaterThan(long otherIncarnation, long otherSequence) {
        return incarnation > otherIncarnation
                || (incarnation == otherIncarnation && sequence > otherSequence);
    }
}
