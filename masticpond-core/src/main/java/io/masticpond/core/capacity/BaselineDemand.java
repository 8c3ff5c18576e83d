package io.masticpond.core.capacity;

import java.util.concurrent.TimeUnit;

/**
 * Meter of the usual demand of a group of callers at this instance, the baseline, which separates
 * the requests within it from those in excess of it.
 *
 * <p>A request is in excess if it finds no token in a bucket that is filled slightly faster than
 * the baseline, and the recent requests are significantly more than the baseline explains. Both
 * conditions together let the usual fluctuation pass at any rate, without a report of another
 * instance. Only requests within the baseline are part of it, so a burst hardly raises it.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 */
final class BaselineDemand {

    /** Time over which the baseline is measured: much longer than a burst. */
    private static final long BASELINE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Time after the first request until which the baseline is unknown. */
    private static final long LEARNING_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Rate of tokens relative to the expected demand, which permits a demand that grows slowly. */
    private static final double GROWTH = 1.1;

    private static final double MAXIMUM_TOKENS = 4;

    /**
     * Standard deviations of a Poisson process above its mean from which on a number of requests is
     * significant: fluctuation exceeds it about once in 700 times.
     */
    private static final double SIGNIFICANT_DEVIATIONS = 3;

    /** Number of requests that is not significant at any rate. */
    private static final double SMALL_NUMBER = 1;

    /** Minimum age for a rate, which is unbounded for the first request. */
    private static final double MINIMUM_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** The short window shows a burst of many requests early, the long one a burst of few. */
    private final RecentDemand mShortWindow = new RecentDemand(TimeUnit.MILLISECONDS.toNanos(250));

    private final RecentDemand mLongWindow = new RecentDemand(TimeUnit.SECONDS.toNanos(1));
    private final DecayingRate mBaseline = new DecayingRate(BASELINE_NANOS);
    private double mTokens = MAXIMUM_TOKENS;
    private boolean mHasArrivals;
    private long mFirstNanos;
    private long mLastNanos;

    /**
     * Records a request that arrives.
     *
     * @param growth how much more than usual all groups send, at least 1
     * @param minimumPerSecond the rate up to which no request is in excess
     * @param nowNanos the current monotonic time
     * @return whether the request is within the baseline
     */
    boolean arrived(double growth, double minimumPerSecond, long nowNanos) {
        if (!mHasArrivals) {
            mHasArrivals = true;
            mFirstNanos = nowNanos;
            mLastNanos = nowNanos;
        }
        double expected = Math.max(growth * perSecond(nowNanos), minimumPerSecond);
        double seconds = Math.max(0, nowNanos - mLastNanos) / 1e9;
        mTokens = Math.min(MAXIMUM_TOKENS, mTokens + GROWTH * expected * seconds);
        mLastNanos = nowNanos;
        mShortWindow.mRequests.add(nowNanos);
        mLongWindow.mRequests.add(nowNanos);
        boolean isWithin =
                mTokens >= 1
                        || nowNanos - mFirstNanos < LEARNING_NANOS
                        || !(mShortWindow.isAbove(expected, nowNanos)
                                || mLongWindow.isAbove(expected, nowNanos));
        if (isWithin) {
            mTokens = Math.max(0, mTokens - 1);
            mBaseline.add(nowNanos);
        }
        return isWithin;
    }

    /**
     * Returns the baseline. A mean over less than the whole time constant is corrected for the
     * missing part.
     */
    double perSecond(long nowNanos) {
        double ageNanos = Math.max(MINIMUM_AGE_NANOS, nowNanos - mFirstNanos);
        return mBaseline.perSecond(nowNanos) / (1 - Math.exp(-ageNanos / BASELINE_NANOS));
    }

    /** Number of recent requests. */
    private static final class RecentDemand {

        private final double mSeconds;
        private final DecayingRate mRequests;

        RecentDemand(long windowNanos) {
            mSeconds = windowNanos / 1e9;
            mRequests = new DecayingRate(windowNanos);
        }

        /** Determines whether the requests are significantly more than at a rate. */
        boolean isAbove(double perSecond, long nowNanos) {
            double mean = perSecond * mSeconds;
            double maximum = mean + SIGNIFICANT_DEVIATIONS * Math.sqrt(mean) + SMALL_NUMBER;
            return mRequests.count(nowNanos) > maximum;
        }
    }
}
