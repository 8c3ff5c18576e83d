package io.masticpond.core.placement;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Measured round trip time for each distance. A measured time includes waits at a busy server or
 * link, so lower times are adopted at once and higher ones gradually.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
final class RoundTrips {

    private static final double SMOOTHING_FACTOR = 0.01;

    private final Map<Distance, Double> mNanos = new EnumMap<>(Distance.class);

    /** Creates the round trips with assumed times, which apply until others are measured. */
    RoundTrips() {
        mNanos.put(Distance.SAME_ZONE, (double) TimeUnit.MILLISECONDS.toNanos(1));
        mNanos.put(Distance.SAME_REGION, (double) TimeUnit.MILLISECONDS.toNanos(2));
        mNanos.put(Distance.OTHER_REGION, (double) TimeUnit.MILLISECONDS.toNanos(40));
    }

    /** Records a measured round trip. */
    void record(Distance distance, long nanos) {
        double known = mNanos.get(distance);
        mNanos.put(distance, nanos < known ? nanos : known + SMOOTHING_FACTOR * (nanos - known));
    }

    /** Returns the time of a round trip in nanoseconds. */
    double nanos(Distance distance) {
        return mNanos.get(distance);
    }
}
