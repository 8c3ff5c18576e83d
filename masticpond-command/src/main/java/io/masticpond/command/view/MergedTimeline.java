package io.masticpond.command.view;

import io.masticpond.command.client.TimelineAnswer;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Events of all instances in causal order, which is by hybrid timestamp, then by instance.
 *
 * @param lanes the events of each instance, ordered by the names of the instances
 * @param entries the events in causal order
 * @since 0.1
 */
public record MergedTimeline(List<Lane> lanes, List<Entry> entries) {

    private static final Comparator<Entry> ORDER =
            Comparator.<Entry>comparingLong(entry -> entry.event().wallMillis())
                    .thenComparingInt(entry -> entry.event().counter())
                    .thenComparing(Entry::instance);

    /** Creates a timeline with defensive copies of the lists. */
    public MergedTimeline {
        lanes = List.copyOf(lanes);
        entries = List.copyOf(entries);
    }

    /**
     * Merges the events of instances.
     *
     * @param lanes the events of each instance
     * @return the merged timeline
     */
    public static MergedTimeline of(List<Lane> lanes) {
        List<Lane> sorted = new ArrayList<>(lanes);
        sorted.sort(Comparator.comparing(Lane::instance));
        List<Entry> entries = new ArrayList<>();
        for (Lane lane : sorted) {
            lane.events().forEach(event -> entries.add(new Entry(lane.instance(), event)));
        }
        entries.sort(ORDER);
        return new MergedTimeline(sorted, entries);
    }

    /**
     * Event with the instance that recorded it.
     *
     * @param instance the instance
     * @param event the event
     */
    public record Entry(String instance, TimelineAnswer.Event event) {}
}
