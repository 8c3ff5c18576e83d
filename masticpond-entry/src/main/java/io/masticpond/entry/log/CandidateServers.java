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
        }
        mServers[mKept] = server;
        mInFlight[mKept] = inFlight;
        mSlots[mKept] = slots;
        mScores[mKept++] = score;
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
}
