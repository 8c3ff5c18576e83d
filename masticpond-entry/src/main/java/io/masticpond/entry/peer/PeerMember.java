package io.masticpond.entry.peer;

/**
 * An instance as another one sees it.
 *
 * @param instance what it told last
 * @param state what its silence makes of it
 * @param leaving whether it said that it stops
 * @param inactiveMillis the time since the last sign of it
 * @since 0.2
 */
public record PeerMember(PeerInstance instance, State state, boolean leaving, long inactiveMillis) {

    /** What silence makes of an instance. */
    public enum State {
        /** The instance that tells. */
        SELF,
        /** Heard from a short time ago. */
        ALIVE,
        /** Some heartbeats are missing. */
        SUSPECT,
        /** Silent for long, stopped, or never heard yet. */
        GONE
    }
}
