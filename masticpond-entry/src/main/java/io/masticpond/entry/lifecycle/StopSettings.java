package io.masticpond.entry.lifecycle;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * How long the parts of a planned stop may take.
 *
 * @param acceptFor how long new connections and requests are taken, for clients that were told of
 *     this instance shortly before
 * @param endBy when those unfinished are answered at the latest
 * @param flushFor how long their answers may take to leave
 * @param checkEvery how often it is looked whether all is finished
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

    /** Checks the order of the times. */
    public StopSettings {
        Assert.isTrue(
                acceptFor.compareTo(endBy) < 0,
                "New connections must end (%s) before all ends (%s).",
                acceptFor,
                endBy);
        Assert.isTrue(checkEvery.toNanos() > 0, "Checks must be apart, not by %s.", checkEvery);
    }

    /**
     * Divides the time after which the process is killed: new connections for less than half of it,
     * and the end an eighth of it before, 700 ms at most.
     *
     * @param grace the time from the wish to stop until the process is killed
     * @param answersKeptFor how long clients may keep an answer of the directory
     * @return the settings
     */
    public static StopSettings within(Duration grace, Duration answersKeptFor) {
        Duration margin = least(MAXIMUM_MARGIN, grace.dividedBy(MARGIN_PART));
        Duration half = grace.multipliedBy(ACCEPT_NUMERATOR).dividedBy(ACCEPT_DENOMINATOR);
        Duration told = answersKeptFor.plus(answersKeptFor.dividedBy(2));
        return new StopSettings(
                least(told, least(MAXIMUM_ACCEPT, half)),
                grace.minus(margin),
                least(MAXIMUM_FLUSH, margin.dividedBy(FLUSH_PART)),
                CHECK);
    }

    private static Duration least(Duration one, Duration other) {
        return one.compareTo(other) < 0 ? one : other;
    }
}
