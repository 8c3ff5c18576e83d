package io.masticpond.measure.decision;

import io.masticpond.core.id.RegionId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * Statistics of how the clients' requests ended, and of the answers and bytes that other regions
 * provided.
 *
 * <p>Not thread-safe.
 */
final class DecisionStatistics {

    /** Utility of an answer after the target time, where an answer in time has a utility of 1. */
    private static final double LATE_UTILITY = 0.2;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Outcome of a client's request. */
    enum Outcome {
        IN_TIME(1),
        LATE(LATE_UTILITY),
        REFUSED(0),
        FAILED(0);

        private final double mUtility;

        Outcome(double utility) {
            mUtility = utility;
        }
    }

    /** Counters of a group of requests. */
    private static final class Counts {
        private final int[] mCounts = new int[Outcome.values().length];
        private double mUtility;
        private int mTotal;

        void add(Outcome outcome) {
            mCounts[outcome.ordinal()]++;
            mUtility += outcome.mUtility;
            mTotal++;
        }

        double share(Outcome outcome) {
            return mTotal == 0 ? 0 : (double) mCounts[outcome.ordinal()] / mTotal;
        }

        double utility() {
            return mTotal == 0 ? 0 : mUtility / mTotal;
        }
    }

    private final Counts mAllRequests = new Counts();
    private final Map<RegionId, Counts> mRegions = new HashMap<>();
    private final Map<String, Counts> mKinds = new HashMap<>();
    private final Map<Long, Counts> mWindows = new TreeMap<>();
    private long mAllSends;
    private long mOtherRegionSends;
    private long mServerRejections;
    private long mAllBytes;
    private long mOtherRegionBytes;

    void recordOutcome(RegionId region, RequestKind kind, long arrivedNanos, Outcome outcome) {
        mAllRequests.add(outcome);
        mRegions.computeIfAbsent(region, id -> new Counts()).add(outcome);
        mKinds.computeIfAbsent(kind.name(), id -> new Counts()).add(outcome);
        mWindows.computeIfAbsent(arrivedNanos / WINDOW_NANOS, id -> new Counts()).add(outcome);
    }

    void recordSend(boolean toOtherRegion) {
        mAllSends++;
        mOtherRegionSends += toOtherRegion ? 1 : 0;
    }

    void recordAnswer(boolean fromOtherRegion, int bytes) {
        mAllBytes += bytes;
        mOtherRegionBytes += fromOtherRegion ? bytes : 0;
    }

    void recordServerRejection() {
        mServerRejections++;
    }

    long serverRejections() {
        return mServerRejections;
    }

    double share(Outcome outcome) {
        return mAllRequests.share(outcome);
    }

    double utility() {
        return mAllRequests.utility();
    }

    double worstRegion() {
        return mRegions.values().stream().mapToDouble(Counts::utility).min().orElse(0);
    }

    double worstKind() {
        return mKinds.values().stream().mapToDouble(Counts::utility).min().orElse(0);
    }

    double worstWindow() {
        return mWindows.values().stream().mapToDouble(Counts::utility).min().orElse(0);
    }

    double otherRegionSendShare() {
        return mAllSends == 0 ? 0 : (double) mOtherRegionSends / mAllSends;
    }

    double otherRegionByteShare() {
        return mAllBytes == 0 ? 0 : (double) mOtherRegionBytes / mAllBytes;
    }
}
