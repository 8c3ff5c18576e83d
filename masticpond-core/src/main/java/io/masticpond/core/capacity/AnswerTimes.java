package io.masticpond.core.capacity;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.routing.Route;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Times of the answers of one service: how long a request occupies a slot, and how much of its
 * target latency the quick requests of a route leave for waiting.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 */
final class AnswerTimes {

    /** A cache miss takes about three times as long as a hit; half of that separates the two. */
    private static final double MISS_MULTIPLE = 1.7;

    /** Number of answers over which the mean is taken. */
    private static final int MEAN_ANSWERS = 32;

    /**
     * Quantile of the answer times of a route that stands for a hit. It is low, so that it is the
     * time of a hit even while most answers are misses.
     */
    private static final double QUICK_QUANTILE = 0.15;

    /** Relative step of the estimated quantile for each answer. */
    private static final double QUICK_STEP = 0.2;

    /** Time after its last request from which on a route has no effect on the others. */
    private static final long ROUTE_VALIDITY_NANOS = TimeUnit.SECONDS.toNanos(10);

    /**
     * Minimum part of the target latency that requests may wait. The estimated time of a quick
     * answer may be wrong, and without any wait a slot idles between two requests.
     */
    private static final double MINIMUM_WAIT_PART = 0.25;

    /**
     * Part of the spare time that requests may wait by the estimated loads. The loads are up to a
     * second old and several instances act on them at once, so the waits are longer than estimated:
     * with all of the spare time, fewer answers were in time.
     */
    private static final double SAFE_PART = 0.75;

    private final Map<RouteId, RouteTimes> mRoutes = new HashMap<>();
    private double mMeanNanos;
    private double mMissNanos;
    private double mMissPart;

    /** Records that a request of a route arrived. */
    void arrived(Route route, long nowNanos) {
        RouteTimes times = mRoutes.computeIfAbsent(route.id(), id -> new RouteTimes());
        times.mTargetNanos = route.targetLatency().toNanos();
        times.mArrivedNanos = nowNanos;
    }

    /**
     * Records the time of a successful answer.
     *
     * @param hasWaited whether requests waited for a slot, so that the time includes a wait; it is
     *     then only an upper bound of the time in the slot
     */
    void answered(Route route, long nanos, boolean hasWaited) {
        RouteTimes times = mRoutes.computeIfAbsent(route.id(), id -> new RouteTimes());
        if (!hasWaited || nanos < times.mQuickNanos) {
            times.recordTime(nanos);
        }
        if (hasWaited) {
            return;
        }
        boolean isMiss = nanos > MISS_MULTIPLE * times.mQuickNanos;
        mMissPart += ((isMiss ? 1 : 0) - mMissPart) / MEAN_ANSWERS;
        mMeanNanos = mean(mMeanNanos, nanos);
        if (isMiss) {
            mMissNanos = mean(mMissNanos, nanos);
        }
    }

    private static double mean(double previous, long nanos) {
        return previous == 0 ? nanos : previous + (nanos - previous) / MEAN_ANSWERS;
    }

    /**
     * Returns the mean time that a request occupies a slot, in nanoseconds; that of a miss while
     * most answers are misses.
     *
     * @return nanoseconds, 0 before the first answer
     */
    double occupationNanos() {
        return mMissPart > 0.5 ? Math.max(mMeanNanos, mMissNanos) : mMeanNanos;
    }

    /**
     * Returns the longest wait after which the quick requests of each present route are still in
     * time.
     *
     * @param nowNanos the current monotonic time
     * @return nanoseconds; {@link Long#MAX_VALUE} if no present route can be in time, since waiting
     *     then makes no answer late
     */
    long waitInTimeNanos(long nowNanos) {
        double wait = Long.MAX_VALUE;
        for (RouteTimes each : mRoutes.values()) {
            if (nowNanos - each.mArrivedNanos <= ROUTE_VALIDITY_NANOS) {
                wait = Math.min(wait, each.waitInTimeNanos());
            }
        }
        return (long) wait;
    }

    /** Times of the answers of one route. */
    private static final class RouteTimes {

        private double mTargetNanos = Double.MAX_VALUE;
        private double mQuickNanos;
        private long mArrivedNanos = Long.MIN_VALUE / 2;

        /** Moves the estimated quantile by a step. */
        void recordTime(long nanos) {
            if (mQuickNanos == 0) {
                mQuickNanos = nanos;
            } else if (nanos < mQuickNanos) {
                double step = mQuickNanos * QUICK_STEP * (1 - QUICK_QUANTILE);
                mQuickNanos = Math.max(nanos, mQuickNanos - step);
            } else {
                mQuickNanos = Math.min(nanos, mQuickNanos * (1 + QUICK_STEP * QUICK_QUANTILE));
            }
        }

        double waitInTimeNanos() {
            if (mQuickNanos >= mTargetNanos) {
                return Long.MAX_VALUE;
            }
            return Math.max(
                    MINIMUM_WAIT_PART * mTargetNanos, SAFE_PART * (mTargetNanos - mQuickNanos));
        }
    }
}
