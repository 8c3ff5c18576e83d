package io.masticpond.daemon.timeline;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.timeline.HybridTime;
import io.masticpond.core.timeline.TimelineEvent;
import java.util.List;

/**
 * Response to a query of the timeline.
 *
 * @param instance the responding instance
 * @param incarnation the number of its incarnation
 * @param wallMillis its wall clock in milliseconds since the epoch
 * @param overwritten the number of events that newer ones have overwritten since its start
 * @param events the events in the order of their times
 * @since 0.1
 */
public record TimelineAnswer(
        String instance, long incarnation, long wallMillis, long overwritten, List<Entry> events) {

    /**
     * Creates an answer.
     *
     * @param incarnation the responding incarnation
     * @param now the time of the response
     * @param overwritten the number of events that newer ones have overwritten
     * @param events the events in the order of their times
     * @return the answer
     */
    static TimelineAnswer of(
            Incarnation incarnation, HybridTime now, long overwritten, List<TimelineEvent> events) {
        return new TimelineAnswer(
                incarnation.instance().value(),
                incarnation.number(),
                now.wallMillis(),
                overwritten,
                events.stream().map(Entry::of).toList());
    }

    /**
     * Timeline event.
     *
     * @param wallMillis the wall time of its hybrid time, in milliseconds since the epoch
     * @param counter the counter of its hybrid time
     * @param part the part of the system
     * @param event the name of the event
     * @param service the service that it concerns, or ""
     * @param object the id of the object that it concerns, or ""
     * @param detail additional detail, or ""
     * @since 0.1
     */
    public record Entry(
            long wallMillis,
            int counter,
            String part,
            String event,
            String service,
            String object,
            String detail) {

        static Entry of(TimelineEvent event) {
            return new Entry(
                    event.time().wallMillis(),
                    event.time().counter(),
                    event.part().name(),
                    event.event(),
                    event.service(),
                    event.object(),
                    event.detail());
        }
    }
}
