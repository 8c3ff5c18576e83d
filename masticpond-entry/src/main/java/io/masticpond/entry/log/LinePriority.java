package io.masticpond.entry.log;

/**
 * The rank of a line, the first being the last to be left out. A class may use the budget only down
 * to its reserve, which is for those before it.
 *
 * @since 0.2
 */
public enum LinePriority {
    /** Refusals, failures, retries and changes of belief. */
    NOTEWORTHY(2_048, 0),
    /** Lines of libraries and sentences of the system's own parts. */
    SENTENCE(512, 0.25),
    /** Requests that went as hoped. */
    PLAIN(1_024, 0.5);

    private final int mCapacity;
    private final double mReserve;

    LinePriority(int capacity, double reserve) {
        mCapacity = capacity;
        mReserve = reserve;
    }

    /** Gives how many lines may wait. */
    int capacity() {
        return mCapacity;
    }

    /** Gives the share of the budget that is kept for the classes before. */
    double reserve() {
        return mReserve;
    }
}
