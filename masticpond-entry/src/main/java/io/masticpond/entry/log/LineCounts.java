package io.masticpond.entry.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counters of the lines written, dropped and lost since the start. Thread-safe.
 *
 * @since 0.2
 */
public final class LineCounts {

    private final AtomicLong mWritten = new AtomicLong();
    private final AtomicLong mLost = new AtomicLong();
    private final Map<LinePriority, AtomicLong> mDropped = new EnumMap<>(LinePriority.class);

    /** Creates counters that are all zero. */
    public LineCounts() {
        for (LinePriority priority : LinePriority.values()) {
            mDropped.put(priority, new AtomicLong());
        }
    }

    /**
     * Returns the number of lines that the output accepted.
     *
     * @return the count
     */
    public long written() {
        return mWritten.get();
    }

    /**
     * Returns the number of lines that the output did not accept or that could not be encoded.
     *
     * @return the count
     */
    public long lost() {
        return mLost.get();
    }

    /**
     * Returns the number of lines dropped because the budget was spent or a ring was full.
     *
     * @param priority the priority of the lines
     * @return the count
     */
    public long dropped(LinePriority priority) {
        return mDropped.get(priority).get();
    }

    void written(int lines) {
        mWritten.addAndGet(lines);
    }

    void lost(int lines) {
        mLost.addAndGet(lines);
    }

    void dropped(LinePriority priority, int lines) {
        mDropped.get(priority).addAndGet(lines);
    }
}
