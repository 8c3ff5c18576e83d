package io.masticpond.testing.backend;

import java.util.concurrent.TimeUnit;

/** Drain, faults and counters of a stand-in backend server. Not thread-safe. */
final class BackendServerState {

    private final BackendServerSettings mSettings;
    private BackendServerFaults mFaults = BackendServerFaults.NONE;
    private BackendServerReport mReport;
    private DrainPlan mDrain;
    private long mDrainNanos;
    private long mStartNanos;
    private long mLastNewWorkMillis = DrainPlan.NEVER;
    private long mRequests;
    private long mExecutions;
    private long mShed;
    private long mWithdrawn;
    private long mAbandoned;
    private long mProbes;
    private long mConnections;
    private int mOpenConnections;
    private int mHighestConnections;

    BackendServerState(BackendServerSettings settings) {
        mSettings = settings;
    }

    void recordStart(long nowNanos) {
        mStartNanos = nowNanos;
        mOpenConnections = 0;
        mReport = null;
    }

    void recordConnection() {
        mConnections++;
        mOpenConnections++;
        mHighestConnections = Math.max(mHighestConnections, mOpenConnections);
    }

    void recordConnectionEnd() {
        mOpenConnections--;
    }

    void recordRequest(long nowNanos) {
        mRequests++;
        if (mDrain != null) {
            mLastNewWorkMillis = drainingMillis(nowNanos);
        }
    }

    void recordExecution() {
        mExecutions++;
    }

    void recordShed() {
        mShed++;
    }

    void recordWithdrawn() {
        mWithdrawn++;
    }

    void recordAbandoned() {
        mAbandoned++;
    }

    void recordProbe() {
        mProbes++;
    }

    void drain(DrainPlan plan, long nowNanos) {
        mDrain = plan;
        mDrainNanos = nowNanos;
        mLastNewWorkMillis = DrainPlan.NEVER;
    }

    void undrain() {
        mDrain = null;
    }

    BackendServerFaults faults() {
        return mFaults;
    }

    void setFaults(BackendServerFaults faults) {
        mFaults = faults;
        mReport = null;
    }

    boolean showsLeavingHeader(long nowNanos) {
        return mDrain != null
                && DrainPlan.reached(mDrain.headerAfterMillis(), drainingMillis(nowNanos));
    }

    boolean closesConnections(long nowNanos) {
        return mDrain != null
                && DrainPlan.reached(mDrain.closeAfterMillis(), drainingMillis(nowNanos));
    }

    /** Returns the factor by which work takes longer than at a warm server without faults. */
    double workFactor(long nowNanos) {
        double warmUpProgress =
                mSettings.coldMillis() == 0
                        ? 1
                        : Math.min(
                                1,
                                (double) millis(nowNanos - mStartNanos) / mSettings.coldMillis());
        return mFaults.slowFactor()
                * (mSettings.coldFactor() * (1 - warmUpProgress) + warmUpProgress);
    }

    BackendServerReport report(int inFlight, long nowNanos) {
        if (mReport == null
                || millis(nowNanos - mReport.takenNanos()) >= mFaults.reportLagMillis()) {
            boolean leaving =
                    mDrain != null
                            && DrainPlan.reached(
                                    mDrain.healthAfterMillis(), drainingMillis(nowNanos));
            mReport =
                    BackendServerReport.of(mFaults, leaving, inFlight, mSettings.slots(), nowNanos);
        }
        return mReport;
    }

    BackendServerCounts counts(int inFlight, int highestInFlight, long nowNanos) {
        return new BackendServerCounts(
                mRequests,
                mExecutions,
                mShed,
                mWithdrawn,
                mAbandoned,
                mProbes,
                inFlight,
                highestInFlight,
                mSettings.slots(),
                mConnections,
                mHighestConnections,
                mDrain == null ? DrainPlan.NEVER : drainingMillis(nowNanos),
                mLastNewWorkMillis);
    }

    void resetCounts() {
        mRequests = 0;
        mExecutions = 0;
        mShed = 0;
        mWithdrawn = 0;
        mAbandoned = 0;
        mProbes = 0;
        mConnections = 0;
        mHighestConnections = mOpenConnections;
    }

    private long drainingMillis(long nowNanos) {
        return millis(nowNanos - mDrainNanos);
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
