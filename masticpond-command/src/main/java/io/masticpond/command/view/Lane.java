package io.masticpond.command.view;

import io.masticpond.command.client.TimelineAnswer;
import java.util.List;

/**
 * Events of one instance in a merged timeline, or the reason why there are none.
 *
 * @param instance the instance
 * @param state whether the instance responded
 * @param reason the reason why the instance did not respond, or an empty string
 * @param incarnation the incarnation number, or 0 if the instance did not respond
 * @param overwritten the number of events that the instance has overwritten since it started
 * @param events the events, ordered by time
 * @since 0.1
 */
public record Lane(
        String instance,
        State state,
        String reason,
        long incarnation,
        long overwritten,
        List<TimelineAnswer.Event> events) {

    /** Result of querying an instance. */
    public enum State {
        /** The instance responded. */
        ANSWERED,
        /** The instance was queried and did not respond. */
        UNREACHABLE,
        /** The instance is known to be dead and was not queried. */
        DEAD
    }

    /** Makes a defensive copy of the list. */
    public Lane {
        events = List.copyOf(events);
    }

    /**
     * Creates a lane from the response of an instance.
     *
     * @param answer the response
     * @return the lane
     */
    public static Lane of(TimelineAnswer answer) {
        return new Lane(
                answer.instance(),
                State.ANSWERED,
                "",
                answer.incarnation(),
                answer.overwritten(),
                answer.events());
    }

    /**
     * Creates a lane for an instance that is dead.
     *
     * @param instance the instance
     * @return the lane
     */
    public static Lane dead(String instance) {
        return new Lane(instance, State.DEAD, "dead", 0, 0, List.of());
    }

    /**
     * Creates a lane for an instance that did not respond.
     *
     * @param instance the instance
     * @param reason the reason, a few words
     * @return the lane
     */
    public static Lane missing(String instance, String reason) {
        return new Lane(instance, State.UNREACHABLE, reason, 0, 0, List.of());
    }

    /**
     * Returns whether the events of an instance that is not known to be dead are missing.
     *
     * @return whether the instance was queried and did not respond
     */
    public boolean isMissing() {
        return state == State.UNREACHABLE;
    }
}
