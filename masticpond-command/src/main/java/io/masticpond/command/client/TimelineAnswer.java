package io.masticpond.command.client;

import java.util.List;

/**
 * Events of an instance.
 *
 * @param instance the instance
 * @param incarnation the incarnation number
 * @param wallMillis the wall clock of the instance, in milliseconds since the epoch
 * @param overwritten the number of events that the instance has overwritten since it started
 * @param events the events, ordered by time
 * @since 0.1
 */
public record TimelineAnswer(
        String instance, long incarnation, long wallMillis, long overwritten, List<Event> events) {

    /** Replaces a {@code null} list with an empty one. */
    public TimelineAnswer {
        events = OperatorClient.orEmpty(events);
    }

    /**
     * Event recorded by an instance.
     *
     * @param wallMillis the wall time of the hybrid timestamp, in milliseconds since the epoch
     * @param counter the counter of the hybrid timestamp
     * @param part the part of the system that recorded the event
     * @param event the name of the event
     * @param service the affected service, or an empty string
     * @param object the id of the affected object, or an empty string
     * @param detail additional details, or an empty string
     */
    public record Event(
            long wallMillis,
            int counter,
            String part,
            String event,
            String service,
            String object,
            String detail) {}
}
