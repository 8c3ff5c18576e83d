package io.masticpond.entry.log;

import java.util.EnumMap;
import java.util.Map;
import org.jctools.queues.MpscArrayQueue;

/** Queued lines, in one bounded ring per priority, with many producers and one consumer. */
final class LineRings {

    private static final LinePriority[] PRIORITIES = LinePriority.values();

    private final Map<LinePriority, MpscArrayQueue<TimedLine>> mRings =
            new EnumMap<>(LinePriority.class);

    LineRings() {
        for (LinePriority priority : PRIORITIES) {
            mRings.put(priority, new MpscArrayQueue<>(priority.capacity()));
        }
    }

    /** Adds a line unless its ring is full, and returns whether it was added. */
    boolean offer(LinePriority priority, TimedLine line) {
        return mRings.get(priority).offer(line);
    }

    /** Removes and returns the oldest line of a priority, or returns null if there is none. */
    TimedLine poll(LinePriority priority) {
        return mRings.get(priority).poll();
    }

    int size(LinePriority priority) {
        return mRings.get(priority).size();
    }

    boolean isEmpty() {
        for (LinePriority priority : PRIORITIES) {
            if (!mRings.get(priority).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Determines whether a ring is at least half full, so that it should be emptied soon. */
    boolean isHalfFull(LinePriority priority) {
        return 2 * size(priority) >= priority.capacity();
    }

    /** Determines whether any ring is at least half full. */
    boolean isAnyHalfFull() {
        for (LinePriority priority : PRIORITIES) {
            if (isHalfFull(priority)) {
                return true;
            }
        }
        return false;
    }
}
