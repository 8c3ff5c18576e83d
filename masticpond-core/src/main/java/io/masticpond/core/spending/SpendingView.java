package io.masticpond.core.spending;

import java.time.Duration;
import java.time.Instant;

/**
 * Snapshot of the spending of one service in one shift, as seen by one instance.
 *
 * @param key the service and shift
 * @param shift the shift
 * @param holders how many instances share the cap
 * @param capMicros the cap in force, in millionths of the operators' currency unit
 * @param allottedMicros the amount that all instances hold or have spent, as last read
 * @param availableMicros the amount that this instance holds and has not spent
 * @param spentMicros the amount that this instance has spent
 * @param ratePerSecond the rate of spending requested from this instance, in millionths per second
 * @param state whether this instance can charge attempts
 * @since 0.1
 */
public record SpendingView(
        LedgerKey key,
        Shift shift,
        int holders,
        long capMicros,
        long allottedMicros,
        long availableMicros,
        long spentMicros,
        double ratePerSecond,
        AccountState state) {

    private static final double NANOS_PER_SECOND = 1e9;

    /**
     * Returns the amount that this instance will have spent at the end of the shift at its present
     * rate.
     *
     * @param now the time
     * @return the amount in millionths, not limited by the cap
     */
    public long forecastMicros(Instant now) {
        Duration left = Duration.between(now, shift.end());
        double seconds = Math.max(0, left.toNanos() / NANOS_PER_SECOND);
        return spentMicros + Math.round(ratePerSecond * seconds);
    }

    /**
     * Returns an estimate of the amount that all instances have spent: the sum of allotments less
     * the unspent holdings, on the assumption that each instance holds as much as this one.
     *
     * @return the amount in millionths, at least the amount that this instance has spent
     */
    public long fleetSpentMicros() {
        return Math.max(spentMicros, allottedMicros - holders * availableMicros);
    }

    /**
     * Returns a forecast of the amount that all instances will have spent at the end of the shift
     * at their average rate so far.
     *
     * @param now the time
     * @return the forecast under the cap in force
     */
    public SpendingForecast fleetForecast(Instant now) {
        return SpendingForecast.of(allottedMicros, fleetSpentMicros(), shift, capMicros, now);
    }
}
