package io.masticpond.core.limit;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Tells which priorities are present among the requests for one service, by what arrived lately.
 *
 * <p>Only a priority that brings a fair part of the requests can build a queue that the others wait
 * in, so only such a one takes a rank. A configuration may name many more: routes that are being
 * moved, tried out or watched, with a request now and then. Touched by one thread only.
 *
 * @since 0.2
 */
final class PriorityTraffic {

    /**
     * The part of the requests that makes a priority count. At a twentieth, a priority that is left
     * out lengthens the queue of the others by a twentieth at most.
     */
    private static final double LEAST_SHARE = 0.05;

    /** Requests before this count little, so that a priority that went away gives its rank back. */
    private static final double MEMORY_SECONDS = 5;

    private static final double MEMORY_NANOS = MEMORY_SECONDS * 1e9;

    /** A count below this is as good as none and is forgotten. */
    private static final double LEAST_COUNT = 0.01;

    private final Map<Integer, Double> mCounts = new TreeMap<>();
    private double mAll;
    private long mNowNanos;

    /**
     * Counts a request.
     *
     * @param priority its priority
     * @param nowNanos the monotonic time
     */
    void arrived(int priority, long nowNanos) {
        fade(nowNanos);
        mCounts.merge(priority, 1.0, Double::sum);
        mAll++;
    }

    /**
     * Gives the rank of a priority among those present; the priority itself is always taken to be.
     *
     * @param priority the priority
     * @return 0 for the most urgent
     */
    int rank(int priority) {
        int rank = 0;
        for (Map.Entry<Integer, Double> each : mCounts.entrySet()) {
            rank += each.getKey() < priority && isPresent(each.getValue()) ? 1 : 0;
        }
        return rank;
    }

    /**
     * Counts the priorities that are present.
     *
     * @param priority one that is taken to be
     * @return how many, at least 1
     */
    int present(int priority) {
        int present = 1;
        for (Map.Entry<Integer, Double> each : mCounts.entrySet()) {
            present += each.getKey() != priority && isPresent(each.getValue()) ? 1 : 0;
        }
        return present;
    }

    /** Gives how many requests of a priority come in a second. */
    double perSecond(int priority, long nowNanos) {
        fade(nowNanos);
        return mCounts.getOrDefault(priority, 0.0) / MEMORY_SECONDS;
    }

    /** Gives how many requests come in a second. */
    double perSecond(long nowNanos) {
        fade(nowNanos);
        return mAll / MEMORY_SECONDS;
    }

    /** Gives how many requests that are more urgent come in a second. */
    double moreUrgentPerSecond(int priority, long nowNanos) {
        fade(nowNanos);
        double count = 0;
        for (Map.Entry<Integer, Double> each : mCounts.entrySet()) {
            count += each.getKey() < priority ? each.getValue() : 0;
        }
        return count / MEMORY_SECONDS;
    }

    private boolean isPresent(double count) {
        return count >= LEAST_SHARE * mAll;
    }

    private void fade(long nowNanos) {
        long passed = Math.max(0, nowNanos - mNowNanos);
        mNowNanos = nowNanos;
        if (passed == 0 || mCounts.isEmpty()) {
            return;
        }
        double kept = Math.exp(-passed / MEMORY_NANOS);
        mAll = 0;
        Iterator<Map.Entry<Integer, Double>> each = mCounts.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Integer, Double> entry = each.next();
            double count = entry.getValue() * kept;
            if (count < LEAST_COUNT) {
                each.remove();
            } else {
                entry.setValue(count);
                mAll += count;
            }
        }
    }
}
