package io.masticpond.core.spending;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.time.Instant;

/**
 * Forecast of the cost of a shift under a cap, as shown in a plan.
 *
 * @param capMicros the cap that the plan specifies, in millionths of the operators' currency unit
 * @param allottedMicros the amount allotted to instances so far
 * @param atMostMicros the maximum cost of the shift: the cap, or the allotted amount if that is
 *     higher, because no allotment is taken back from its holder
 * @param predictedMicros the predicted cost if spending continues at its average rate
 * @since 0.1
 */
public record SpendingForecast(
        long capMicros, long allottedMicros, long atMostMicros, long predictedMicros) {

    /**
     * Creates the forecast of a shift under a cap.
     *
     * @param allottedMicros the amount allotted to instances so far
     * @param spentMicros the part of it that is known to be spent
     * @param shift the shift
     * @param capMicros the cap in force, or the one that a plan specifies
     * @param now the time
     * @return the forecast
     */
    public static SpendingForecast of(
            long allottedMicros, long spentMicros, Shift shift, long capMicros, Instant now) {
        Assert.notNegative(capMicros, "A spending cap");
        long upperBound = Math.max(capMicros, allottedMicros);
        long predicted = Math.min(upperBound, atAverageRate(spentMicros, shift, now));
        return new SpendingForecast(capMicros, allottedMicros, upperBound, predicted);
    }

    private static long atAverageRate(long spent, Shift shift, Instant now) {
        Duration elapsed = Duration.between(shift.start(), now);
        if (elapsed.compareTo(Duration.ofSeconds(1)) < 0) {
            return spent;
        }
        double ratio = (double) shift.length().toNanos() / elapsed.toNanos();
        return Math.round(spent * Math.max(1, ratio));
    }
}
