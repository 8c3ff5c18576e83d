package io.masticpond.measure.region;

import io.masticpond.core.id.ZoneId;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.HdrHistogram.Histogram;

/**
 * Counters of request outcomes, by the second of arrival and the availability zone of the client.
 */
final class OutcomeCounts {

    private record Key(ZoneId zone, long second, Outcome outcome) {}

    private static final double NANOS_PER_MILLI = 1e6;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram mLatencies = new Histogram(SIGNIFICANT_DIGITS);
    private final long mDeadlineNanos;
    private final Map<Key, Integer> mCounts = new HashMap<>();
    private final Set<ZoneId> mZones = new HashSet<>();
    private boolean mRecordsLatencies;

    OutcomeCounts(long deadlineNanos) {
        mDeadlineNanos = deadlineNanos;
    }

    /**
     * Records the end of a request.
     *
     * @param request the request
     * @param outcome the outcome
     * @param nowNanos the virtual time of the end, in nanoseconds
     */
    void ended(EntryRequest request, Outcome outcome, long nowNanos) {
        long arrivalNanos = request.head().deadlineNanos() - mDeadlineNanos;
        if (outcome == Outcome.ANSWERED && mRecordsLatencies) {
            mLatencies.recordValue(nowNanos - arrivalNanos);
        }
        mZones.add(request.clientZone());
        mCounts.merge(
                new Key(
                        request.clientZone(),
                        TimeUnit.NANOSECONDS.toSeconds(arrivalNanos),
                        outcome),
                1,
                Integer::sum);
    }

    /** Starts or stops recording the latencies of answered requests. */
    void recordLatencies(boolean enabled) {
        mRecordsLatencies = enabled;
    }

    /** Returns a percentile of the recorded latencies, in milliseconds. */
    double latencyMillis(double percentile) {
        return mLatencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /**
     * Returns the number of requests with an outcome that arrived from one second (inclusive) to
     * another (exclusive).
     */
    int count(Predicate<ZoneId> zones, long from, long to, Outcome outcome) {
        int sum = 0;
        for (ZoneId zone : mZones) {
            if (!zones.test(zone)) {
                continue;
            }
            for (long second = from; second < to; second++) {
                sum += mCounts.getOrDefault(new Key(zone, second, outcome), 0);
            }
        }
        return sum;
    }

    int offered(Predicate<ZoneId> zones, long from, long to) {
        int sum = 0;
        for (Outcome outcome : Outcome.values()) {
            sum += count(zones, from, to, outcome);
        }
        return sum;
    }

    double share(long from, long to, Outcome outcome) {
        int offered = offered(zone -> true, from, to);
        return offered == 0 ? 0 : (double) count(zone -> true, from, to, outcome) / offered;
    }

    /**
     * Returns the time from a disturbance until the answered share is steady again.
     *
     * @param from the second of the disturbance
     * @param to the end of the evaluated period, in seconds, exclusive
     * @param window the length of the window for each share, in seconds
     * @param tolerated the highest share of unanswered requests that counts as steady
     * @return the number of seconds after which every window is steady
     */
    long secondsToSteady(long from, long to, int window, double tolerated) {
        long steadyFrom = from;
        for (long second = from; second + window <= to; second++) {
            if (1 - share(second, second + window, Outcome.ANSWERED) > tolerated) {
                steadyFrom = second + 1;
            }
        }
        return steadyFrom - from;
    }
}
