package io.masticpond.entry.peer;

/**
 * Immutable view of one instance as seen by another.
 *
 * @param instance the state that it reported last
 * @param state the verdict on its inactivity
 * @param leaving whether it announced a planned stop
 * @param inactiveMillis the time since the last sign of it, received from it or reported by others
 * @since 0.2
 */
public record PeerMember(PeerInstance instance, State state, boolean leaving, long inactiveMillis) {

    /** Verdict on the inactivity of an instance. */
    public enum State {
        /** The reporting instance itself. */
        SELF,
        /** Alive by its recent heartbeats, received from it or reported by others. */
        ALIVE,
        /** Some heartbeats are missing. */
        SUSPECT,
        /** Unreachable: unresponsive for long, stopped, or without any known heartbeat so far. */
        GONE
    }
}
