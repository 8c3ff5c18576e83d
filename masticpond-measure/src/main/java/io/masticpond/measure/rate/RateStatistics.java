package io.masticpond.measure.rate;

import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.workspace.RateLimit;
import java.util.ArrayDeque;
import java.util.Deque;

/** Holds what was let through against the bound, and against one exact bucket. */
final class RateStatistics {

    private static final double SECOND = 1e9;
    private static final double UNUSED = 0.9;

    /** Under a lowered limit the bound holds once a window has passed. */
    private final SharedRateSettings mSettings;

    private final Deque<Long> mWindow = new ArrayDeque<>();
    private RateLimit mLimit;
    private long mLimitNanos;
    private double mTokens;
    private long mNanos;
    private double mWorst;
    private long mExact;
    private long mServed;
    private long mArrived;
    private long mRefusedBelow;
    private long mMessages;
    private long mFarMessages;

    RateStatistics(SharedRateSettings settings) {
        mSettings = settings;
    }

    void message(boolean isFar) {
        mMessages++;
        mFarMessages += isFar ? 1 : 0;
    }

    void arrived(boolean isAdmitted, RateLimit limit, long nowNanos) {
        if (!limit.equals(mLimit)) {
            mTokens = mLimit == null ? limit.burst() : Math.min(mTokens, limit.burst());
            mLimitNanos = mLimit == null ? nowNanos - window() : nowNanos;
            mLimit = limit;
        }
        mArrived++;
        mTokens =
                Math.min(limit.burst(), mTokens + limit.perSecond() * (nowNanos - mNanos) / SECOND);
        mNanos = nowNanos;
        boolean fits = mTokens >= 1;
        if (fits) {
            mTokens -= 1;
            mExact++;
        }
        // An exact bucket that is nearly full tells that the rate is not used up.
        if (!isAdmitted && mTokens >= Math.max(1, UNUSED * limit.burst())) {
            mRefusedBelow++;
        }
        if (isAdmitted) {
            admitted(nowNanos);
        }
    }

    private void admitted(long nowNanos) {
        mServed++;
        mWindow.addLast(nowNanos);
        while (nowNanos - mWindow.peekFirst() >= window()) {
            mWindow.removeFirst();
        }
        if (nowNanos - mLimitNanos >= window()) {
            mWorst = Math.max(mWorst, mWindow.size() / bound());
        }
    }

    private long window() {
        return mSettings.window().toNanos();
    }

    private double bound() {
        double most = mLimit.perSecond() * window() / SECOND + mLimit.burst();
        return most * (1 + mSettings.tolerance()) + mSettings.slack();
    }

    /** Gives the fullest window against the bound. */
    double worst() {
        return mWorst;
    }

    /** Gives what was let through against what one exact bucket would have. */
    double served() {
        return mExact == 0 ? 1 : (double) mServed / mExact;
    }

    /** Gives the share of all requests that were refused while the rate was not used up. */
    double refusedBelow() {
        return mArrived == 0 ? 0 : (double) mRefusedBelow / mArrived;
    }

    long messages() {
        return mMessages;
    }

    long farMessages() {
        return mFarMessages;
    }
}
