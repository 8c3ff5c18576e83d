package io.masticpond.entry.log;

/**
 * Priority of a line, from the highest to the lowest: lines of the highest are dropped last. Lines
 * of a priority may use the budget only down to its reserve, which is kept for higher priorities.
 *
 * @since 0.2
 */
public enum LinePriority {
    /** Refusals, failures, retries and view changes. */
    NOTEWORTHY(2_048, 0),
    /** Log messages of libraries and of the system's own components. */
    SENTENCE(512, 0.25),
    /** Requests that were answered at the first attempt and without a server error. */
    PLAIN(1_024, 0.5);

    private final int mCapacity;
    private final double mReserve;

    LinePriority(int capacity, double reserve) {
        mCapacity = capacity;
        mReserve = reserve;
    }

    /** Returns the maximum number of queued lines. */
    int capacity() {
        return mCapacity;
    }

    /** Returns the fraction of the budget that is reserved for higher priorities. */
    double reserve() {
        return mReserve;
    }
}
