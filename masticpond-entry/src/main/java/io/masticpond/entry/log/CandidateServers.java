package io.masticpond.entry.log;

import io.masticpond.core.id.BackendServerId;

/**
 * Candidates of the most recent selection of a backend server; keeps the first {@link
 * RequestRecord#MAXIMUM_CANDIDATES} and counts the others.
 */
final class CandidateServers {

    private BackendServerId[] mServers;
    private CandidateFigures[] mFigures;
    private int mKept;
    private int mTotal;

    void clear() {
        mTotal = 0;
        mKept = 0;
    }

    void add(BackendServerId server, CandidateFigures figures) {
        mTotal++;
        if (mKept == RequestRecord.MAXIMUM_CANDIDATES) {
            return;
        }
        if (mServers == null) {
            mServers = new BackendServerId[RequestRecord.MAXIMUM_CANDIDATES];
            mFigures = new CandidateFigures[RequestRecord.MAXIMUM_CANDIDATES];
        }
        mServers[mKept] = server;
        mFigures[mKept++] = figures;
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

    CandidateFigures figures(int index) {
        return mFigures[index];
    }
}
