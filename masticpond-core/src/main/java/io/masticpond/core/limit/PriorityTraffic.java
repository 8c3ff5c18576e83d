package io.masticpond.core.limit;

import java.util.Iterator;
import java.util.Map;
import java.util.TreeMap;

/**
 * Priorities that are present among the recent requests for one service.
 *
 * <p>Only a priority with a substantial part of the requests can build up a queue in which the
 * others wait, so only such a priority has a rank. A configuration may contain many more
 * priorities: routes that are being migrated, tested or monitored, with occasional requests. For
 * use by a single thread.
 *
 * @since 0.2
 */
final class PriorityTraffic {

    /**
     * Minimum part of the requests from which on a priority is present. At a twentieth, an ignored
     * priority lengthens the queue of the others by at most a twentieth.
     */
    private static final double MIN_SHARE = 0.05;

    /**
     * Time constant of the decay of older requests, by which a priority without requests loses its
     * rank.
     */
    private static final double DECAY_SECONDS = 5;

    private static final double DECAY_NANOS = DECAY_SECONDS * 1e9;

    /** Count below which a priority is removed. */
    private static final double MIN_COUNT = 0.01;

    private final Map<Integer, Double> mCounts = new TreeMap<>();
    private double mTotal;
    private long mNowNanos;

    /**
     * Counts a request.
     *
     * @param priority its priority
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    void arrived(int priority, long nowNanos) {
        decay(nowNanos);
        mCounts.merge(priority, 1.0, Double::sum);
        mTotal++;
    }

    /**
     * Returns the rank of a priority among those present. The priority itself always counts as
     * present.
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
     * Returns the number of priorities that are present.
     *
     * @param priority a priority that always counts as present
     * @return the number, at least 1
     */
    int present(int priority) {
        int present = 1;
        for (Map.Entry<Integer, Double> each : mCounts.entrySet()) {
            present += each.getKey() != priority && isPresent(each.getValue()) ? 1 : 0;
        }
        return present;
    }

    /** Returns the number of requests of a priority per second. */
    double perSecond(int priority, long nowNanos) {
        decay(nowNanos);
        return mCounts.getOrDefault(priority, 0.0) / DECAY_SECONDS;
    }

    /** Returns the number of requests per second. */
    double perSecond(long nowNanos) {
        decay(nowNanos);
        return mTotal / DECAY_SECONDS;
    }

    /** Returns the number of requests with a more urgent priority per second. */
    double moreUrgentPerSecond(int priority, long nowNanos) {
        decay(nowNanos);
        double count = 0;
        for (Map.Entry<Integer, Double> each : mCounts.entrySet()) {
            count += each.getKey() < priority ? each.getValue() : 0;
        }
        return count / DECAY_SECONDS;
    }

    private boolean isPresent(double count) {
        return count >= MIN_SHARE * mTotal;
    }

    private void decay(long nowNanos) {
        long passed = Math.max(0, nowNanos - mNowNanos);
        mNowNanos = nowNanos;
        if (passed == 0 || mCounts.isEmpty()) {
            return;
        }
        double kept = Math.exp(-passed / DECAY_NANOS);
        mTotal = 0;
        Iterator<Map.Entry<Integer, Double>> each = mCounts.entrySet().iterator();
        while (each.hasNext()) {
            Map.Entry<Integer, Double> entry = each.next();
            double count = entry.getValue() * kept;
            if (count < MIN_COUNT) {
                each.remove();
            } else {
                entry.setValue(count);
                mTotal += count;
            }
        }
    }
}
