package io.masticpond.measure.decision;

import io.masticpond.core.id.RegionId;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/** Counts what became of the clients' requests. */
final class DecisionStatistics {

    /** An answer after the target is worth this part of one in time. */
    private static final double LATE_WORTH = 0.2;

    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** How a client's request ended. */
    enum End {
        IN_TIME(1),
        LATE(LATE_WORTH),
        REFUSED(0),
        FAILED(0);

        private final double mWorth;

        End(double worth) {
            mWorth = worth;
        }
    }

    /** Counts of one group. */
    private static final class Counts {
        private final int[] mEnds = new int[End.values().length];
        private double mWorth;
        private int mAll;

        void add(End end) {
            mEnds[end.ordinal()]++;
            mWorth += end.mWorth;
            mAll++;
        }

        double share(End end) {
            return mAll == 0 ? 0 : (double) mEnds[end.ordinal()] / mAll;
        }

        double worth() {
            return mAll == 0 ? 0 : mWorth / mAll;
        }
    }

    private final Counts mAll = new Counts();
    private final Map<RegionId, Counts> mRegions = new HashMap<>();
    private final Map<String, Counts> mKinds = new HashMap<>();
    private final Map<Long, Counts> mWindows = new TreeMap<>();
    private long mSends;
    private long mFarSends;
    private long mTurnedAway;
    private long mBytes;
    private long mFarBytes;

    void ended(RegionId region, RequestKind kind, long arrivedNanos, End end) {
        mAll.add(end);
        mRegions.computeIfAbsent(region, id -> new Counts()).add(end);
        mKinds.computeIfAbsent(kind.name(), id -> new Counts()).add(end);
        mWindows.computeIfAbsent(arrivedNanos / WINDOW_NANOS, id -> new Counts()).add(end);
    }

    void sent(boolean far) {
        mSends++;
        mFarSends += far ? 1 : 0;
    }

    void answered(boolean far, int bytes) {
        mBytes += bytes;
        mFarBytes += far ? bytes : 0;
    }

    void rejectedByServer() {
        mTurnedAway++;
    }

    long rejectedByServerCount() {
        return mTurnedAway;
    }

    double share(End end) {
        return mAll.share(end);
    }

    double utility() {
        return mAll.worth();
    }

    double worstRegion() {
        return mRegions.values().stream().mapToDouble(Counts::worth).min().orElse(0);
    }

    double worstKind() {
        return mKinds.values().stream().mapToDouble(Counts::worth).min().orElse(0);
    }

    double worstWindow() {
        return mWindows.values().stream().mapToDouble(Counts::worth).min().orElse(0);
    }

    double farShare() {
        return mSends == 0 ? 0 : (double) mFarSends / mSends;
    }

    double farByteShare() {
        return mBytes == 0 ? 0 : (double) mFarBytes / mBytes;
    }
}
