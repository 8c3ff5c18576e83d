package io.masticpond.measure.rate;

import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.workspace.RateLimit;
import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Statistics that compare the admitted requests with the bound and with a single exact token
 * bucket.
 */
final class RateStatistics {

    private static final double NANOS_PER_SECOND = 1e9;
    private static final double NEARLY_FULL_SHARE = 0.9;

    /**
     * Settings of the bound. After a change of the limit the bound applies once a window has
     * passed.
     */
    private final SharedRateSettings mSettings;

    private final Deque<Long> mWindow = new ArrayDeque<>();
    private RateLimit mLimit;
    private long mLimitSinceNanos;
    private double mTokens;
    private long mLastNanos;
    private double mWorstWindow;
    private long mExactAdmitted;
    private long mAdmitted;
    private long mArrived;
    private long mRefusedBelowRate;
    private long mMessages;
    private long mCrossZoneMessages;

    RateStatistics(SharedRateSettings settings) {
        mSettings = settings;
    }

    void recordMessage(boolean isCrossZone) {
        mMessages++;
        mCrossZoneMessages += isCrossZone ? 1 : 0;
    }

    void recordRequest(boolean isAdmitted, RateLimit limit, long nowNanos) {
        if (!limit.equals(mLimit)) {
            mTokens = mLimit == null ? limit.burst() : Math.min(mTokens, limit.burst());
            mLimitSinceNanos = mLimit == null ? nowNanos - window() : nowNanos;
            mLimit = limit;
        }
        mArrived++;
        mTokens =
                Math.min(
                        limit.burst(),
                        mTokens + limit.perSecond() * (nowNanos - mLastNanos) / NANOS_PER_SECOND);
        mLastNanos = nowNanos;
        boolean isExactAdmitted = mTokens >= 1;
        if (isExactAdmitted) {
            mTokens -= 1;
            mExactAdmitted++;
        }
        // An exact bucket that is nearly full shows that the rate is not used up.
        if (!isAdmitted && mTokens >= Math.max(1, NEARLY_FULL_SHARE * limit.burst())) {
            mRefusedBelowRate++;
        }
        if (isAdmitted) {
            recordAdmission(nowNanos);
        }
    }

    private void recordAdmission(long nowNanos) {
        mAdmitted++;
        mWindow.addLast(nowNanos);
        while (nowNanos - mWindow.peekFirst() >= window()) {
            mWindow.removeFirst();
        }
        if (nowNanos - mLimitSinceNanos >= window()) {
            mWorstWindow = Math.max(mWorstWindow, mWindow.size() / bound());
        }
    }

    private long window() {
        return mSettings.window().toNanos();
    }

    private double bound() {
        double maximum = mLimit.perSecond() * window() / NANOS_PER_SECOND + mLimit.burst();
        return maximum * (1 + mSettings.tolerance()) + mSettings.slack();
    }

    /** Returns the number of requests in the fullest window relative to the bound. */
    double worstWindow() {
        return mWorstWindow;
    }

    /** Returns the number of admitted requests relative to that of a single exact bucket. */
    double servedShare() {
        return mExactAdmitted == 0 ? 1 : (double) mAdmitted / mExactAdmitted;
    }

    /** Returns the share of all requests that were refused while the rate was not used up. */
    double refusedBelowRate() {
        return mArrived == 0 ? 0 : (double) mRefusedBelowRate / mArrived;
    }

    long messages() {
        return mMessages;
    }

    long crossZoneMessages() {
        return mCrossZoneMessages;
    }
}
