package io.masticpond.entry.log;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts what became of lines since the start. Safe for all threads.
 *
 * @since 0.2
 */
public final class LineCounts {

    private final AtomicLong mWritten = new AtomicLong();
    private final AtomicLong mLost = new AtomicLong();
    private final Map<LinePriority, AtomicLong> mLeftOut = new EnumMap<>(LinePriority.class);

    /** Starts with none. */
    public LineCounts() {
        for (LinePriority lineClass : LinePriority.values()) {
            mLeftOut.put(lineClass, new AtomicLong());
        }
    }

    /**
     * Counts the lines that the output took.
     *
     * @return the count
     */
    public long written() {
        return mWritten.get();
    }

    /**
     * Counts the lines that the output did not take, or that could not be encoded.
     *
     * @return the count
     */
    public long lost() {
        return mLost.get();
    }

    /**
     * Counts the lines that were left out, for the budget or since too many waited.
     *
     * @param lineClass their class
     * @return the count
     */
    public long dropped(LinePriority lineClass) {
        return mLeftOut.get(lineClass).get();
    }

    void written(int lines) {
        mWritten.addAndGet(lines);
    }

    void lost(int lines) {
        mLost.addAndGet(lines);
    }

    void dropped(LinePriority lineClass, int lines) {
        mLeftOut.get(lineClass).addAndGet(lines);
    }
}
