package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;

/** The candidates of the last choice of a backend server, the first few of them kept. */
final class CandidateServers {

    private BackendServerId[] mServers;
    private int[] mInFlight;
    private int[] mSlots;
    private double[] mScores;
    private int mKept;
    private int mWeighed;

    void clear() {
        mWeighed = 0;
        mKept = 0;
    }

    void add(BackendServerId server, int inFlight, int slots, double score) {
        mWeighed++;
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

    /** Counts the servers that were weighed, kept or not. */
    int total() {
        return mWeighed;
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
