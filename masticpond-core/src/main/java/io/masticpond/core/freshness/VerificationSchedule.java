package io.masticpond.core.freshness;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Times at which the instances verify that their copies of one kind of object miss no change of the
 * store. The first instance of the order reads the store for all, and the others request its proof.
 * Each further instance reads only when the proof is older than it would be if the instances before
 * it had renewed it.
 *
 * @param readAge the age of the proof at which the first instance reads the store
 * @since 0.3
 */
public record VerificationSchedule(Duration readAge) {

    /**
     * The part of the bound that remains after the read: the request of the proof by another
     * instance, the time in which a watch that works reports the change, and the read by that
     * instance.
     */
    private static final Duration RESERVE = Duration.ofMillis(1_000);

    private static final Duration MINIMUM_READ_AGE = Duration.ofMillis(300);

    private static final Duration DELAY_PER_RANK = Duration.ofMillis(200);

    /** The rank from which the delay no longer grows. */
    private static final int MAXIMUM_DELAY_RANK = 3;

    /** Validates the age. */
    public VerificationSchedule {
        Assert.positive(readAge.toMillis(), "The age at which a proof is renewed");
    }

    /**
     * Returns the schedule under which a missed change is in force within a bound.
     *
     * @param bound the time in which a change must be in force
     * @return the schedule; for a bound below 1.3 s it verifies as often as for 1.3 s
     */
    public static VerificationSchedule within(Duration bound) {
        Duration age = bound.minus(RESERVE);
        return new VerificationSchedule(
                age.compareTo(MINIMUM_READ_AGE) < 0 ? MINIMUM_READ_AGE : age);
    }

    /**
     * Returns the age of the proof at which an instance reads the store.
     *
     * @param rank the position of the instance in the order, starting at 0
     * @return the age
     */
    public Duration readAge(int rank) {
        Assert.notNegative(rank, "A rank");
        return readAge.plus(DELAY_PER_RANK.multipliedBy(Math.min(rank, MAXIMUM_DELAY_RANK)));
    }
}
