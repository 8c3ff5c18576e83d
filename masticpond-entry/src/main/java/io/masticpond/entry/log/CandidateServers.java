package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;

/**
 * Candidates of the most recent selection of a backend server; keeps the first {@link
 * RequestRecord#MAXIMUM_CANDIDATES} and counts the others.
 */
final class CandidateServers {

    private BackendServerId[] mServers;
    private int[] mInFlight;
    private int[] mSlots;
    private double[] mScores;
    private long[] mExpectedNanos;
    private long[] mSpeedAgeNanos;
    private int mKept;
    private int mTotal;

    void clear() {
        mTotal = 0;
        mKept = 0;
    }

    void add(BackendServerId server, int inFlight, int slots, double score) {
        mTotal++;
        if (mKept == RequestRecord.MAXIMUM_CANDIDATES) {
            return;
        }
        if (mServers == null) {
            mServers = new BackendServerId[RequestRecord.MAXIMUM_CANDIDATES];
            mInFlight = new int[RequestRecord.MAXIMUM_CANDIDATES];
            mSlots = new int[RequestRecord.MAXIMUM_CANDIDATES];
            mScores = new double[RequestRecord.MAXIMUM_CANDIDATES];
            mExpectedNanos = new long[RequestRecord.MAXIMUM_CANDIDATES];
            mSpeedAgeNanos = new long[RequestRecord.MAXIMUM_CANDIDATES];
        }
        mServers[mKept] = server;
        mInFlight[mKept] = inFlight;
        mSlots[mKept] = slots;
        mExpectedNanos[mKept] = RequestRecord.UNKNOWN;
        mSpeedAgeNanos[mKept] = RequestRecord.UNKNOWN;
        mScores[mKept++] = score;
    }

    /** Adds the expected latency to the candidate that was added last, if it was kept. */
    void addLatency(long expectedNanos, long speedAgeNanos) {
        if (mTotal == mKept) {
            mExpectedNanos[mKept - 1] = expectedNanos;
            mSpeedAgeNanos[mKept - 1] = speedAgeNanos;
        }
    }

    /** Returns the number of servers that were scored, kept or not. */
    int total() {
        return mTotal;
    }

    int kept() {
        return mKept;
    }

    BackendServerId server(int index) {
        return mServers[index];
    }

    int inFlight(int index) {
        return mInFlight[index];
    }

    int slots(int index) {
        return mSlots[index];
    }

    double score(int index) {
        return mScores[index];
    }

    /** Returns the expected latency of a candidate, or {@link RequestRecord#UNKNOWN}. */
    long expectedNanos(int index) {
        return mExpectedNanos[index];
    }

    /** Returns the age of the slowdown that the candidate reported, if any. */
    long speedAgeNanos(int index) {
        return mSpeedAgeNanos[index];
    }
}
