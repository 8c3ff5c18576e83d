package io.masticpond.entry.log;

import java.util.EnumMap;
import java.util.Map;
import org.jctools.queues.MpscArrayQueue;

/** The lines that wait, in one bounded ring for each class. Any thread offers, one takes. */
final class LineRings {

    private static final LinePriority[] CLASSES = LinePriority.values();

    private final Map<LinePriority, MpscArrayQueue<TimedLine>> mRings =
            new EnumMap<>(LinePriority.class);

    LineRings() {
        for (LinePriority lineClass : CLASSES) {
            mRings.put(lineClass, new MpscArrayQueue<>(lineClass.capacity()));
        }
    }

    /** Adds a line unless its ring is full. */
    boolean offer(LinePriority lineClass, TimedLine line) {
        return mRings.get(lineClass).offer(line);
    }

    /** Takes the oldest line of a class, or null. */
    TimedLine poll(LinePriority lineClass) {
        return mRings.get(lineClass).poll();
    }

    int waiting(LinePriority lineClass) {
        return mRings.get(lineClass).size();
    }

    boolean isEmpty() {
        for (LinePriority lineClass : CLASSES) {
            if (!mRings.get(lineClass).isEmpty()) {
                return false;
            }
        }
        return true;
    }

    /** Tells whether a ring should be emptied soon. */
    boolean isHalfFull(LinePriority lineClass) {
        return 2 * waiting(lineClass) >= lineClass.capacity();
    }

    /** Tells whether any ring should be emptied soon. */
    boolean isAnyHalfFull() {
        for (LinePriority lineClass : CLASSES) {
            if (isHalfFull(lineClass)) {
                return true;
            }
        }
        return false;
    }
}
