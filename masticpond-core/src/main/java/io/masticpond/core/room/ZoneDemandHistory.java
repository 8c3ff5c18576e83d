package io.masticpond.core.room;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Smoothed demand of the availability zones for one service, which bridges missing reports: the
 * last value of a zone is kept for 5 s, then decays to the mean of the others, and is dropped after
 * a minute, since the callers of a zone that was lost have moved to other zones by then.
 *
 * <p>Not thread-safe: confined to one thread.
 */
final class ZoneDemandHistory {

    /** Shorter than a step and much shorter than a demand wave, longer than a report. */
    private static final double SMOOTHING_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(5);
    private static final long FORGOTTEN_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Map<ZoneId, Value> mValues = new HashMap<>();
    private long mUpdatedNanos;

    private record Value(double perSecond, long reportedNanos) {}

    /** Applies the demand of the zones with valid reports. */
    void update(Map<ZoneId, Double> reported, long nowNanos) {
        long elapsed = nowNanos - mUpdatedNanos;
        mUpdatedNanos = nowNanos;
        double weight = -Math.expm1(-elapsed / SMOOTHING_NANOS);
        reported.forEach(
                (zone, perSecond) -> {
                    Value former = mValues.get(zone);
                    double smoothed =
                            former == null
                                    ? perSecond
                                    : former.perSecond()
                                            + weight * (perSecond - former.perSecond());
                    mValues.put(zone, new Value(smoothed, nowNanos));
                });
        mValues.values().removeIf(value -> nowNanos - value.reportedNanos() > FORGOTTEN_NANOS);
        if (reported.isEmpty()) {
            return;
        }
        double mean =
                reported.keySet().stream()
                        .mapToDouble(zone -> mValues.get(zone).perSecond())
                        .average()
                        .orElse(0);
        double decay = -Math.expm1(-elapsed / DECAY_NANOS);
        mValues.replaceAll(
                (zone, value) ->
                        nowNanos - value.reportedNanos() <= KEPT_NANOS
                                ? value
                                : new Value(
                                        value.perSecond() + decay * (mean - value.perSecond()),
                                        value.reportedNanos()));
    }

    /** Returns the requests per second by region; zones without a region are left out. */
    Map<RegionId, Double> byRegion(Map<ZoneId, RegionId> regions) {
        Map<RegionId, Double> perSecond = new HashMap<>();
        mValues.forEach(
                (zone, value) -> {
                    RegionId region = regions.get(zone);
                    if (region != null) {
                        perSecond.merge(region, value.perSecond(), Double::sum);
                    }
                });
        return perSecond;
    }
}
