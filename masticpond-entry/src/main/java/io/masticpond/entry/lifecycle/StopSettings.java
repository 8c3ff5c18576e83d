package io.masticpond.entry.lifecycle;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the durations of a planned stop.
 *
 * @param acceptFor how long new connections and requests are accepted, for clients that were given
 *     the address of this instance shortly before
 * @param endBy the time from the start of the stop after which unfinished requests are answered
 * @param flushFor how long their answers may take to be sent
 * @param checkEvery the interval of the checks whether all work is finished
 * @since 0.2
 */
public record StopSettings(
        Duration acceptFor, Duration endBy, Duration flushFor, Duration checkEvery) {

    private static final Duration MAXIMUM_ACCEPT = Duration.ofMillis(2700);
    private static final Duration MAXIMUM_MARGIN = Duration.ofMillis(700);
    private static final Duration MAXIMUM_FLUSH = Duration.ofMillis(200);
    private static final Duration CHECK = Duration.ofMillis(50);
    private static final int ACCEPT_NUMERATOR = 9;
    private static final int ACCEPT_DENOMINATOR = 20;
    private static final int MARGIN_PART = 8;
    private static final int FLUSH_PART = 4;

    /** Validates the order of the durations. */
    public StopSettings {
        Assert.isTrue(
                acceptFor.compareTo(endBy) < 0,
                "acceptFor (%s) must be below endBy (%s).",
                acceptFor,
                endBy);
        Assert.isTrue(
                checkEvery.toNanos() > 0, "checkEvery must be positive, but was %s.", checkEvery);
    }

    /**
     * Returns settings that divide the time after which the process is killed. New connections are
     * accepted for one and a half times as long as clients may keep an answer of the directory, but
     * for less than half of the time and at most 2.7 s. Unfinished requests are answered an eighth
     * of the time before the process is killed, but at most 700 ms before.
     *
     * @param grace the time from the request to stop until the process is killed
     * @param answersKeptFor how long clients may keep an answer of the directory
     * @return the settings
     */
    public static StopSettings within(Duration grace, Duration answersKeptFor) {
        Duration margin = shorter(MAXIMUM_MARGIN, grace.dividedBy(MARGIN_PART));
        Duration maximumAccept = grace.multipliedBy(ACCEPT_NUMERATOR).dividedBy(ACCEPT_DENOMINATOR);
        Duration knownFor = answersKeptFor.plus(answersKeptFor.dividedBy(2));
        return new StopSettings(
                shorter(knownFor, shorter(MAXIMUM_ACCEPT, maximumAccept)),
                grace.minus(margin),
                shorter(MAXIMUM_FLUSH, margin.dividedBy(FLUSH_PART)),
                CHECK);
    }

    private static Duration shorter(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}
