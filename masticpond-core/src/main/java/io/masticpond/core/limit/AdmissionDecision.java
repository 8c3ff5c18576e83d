package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Decision on the admission of a request, with the time after which a refused client should retry.
 *
 * @param admitted whether it is admitted
 * @param retryAfterNanos the time after which the client should retry, in nanoseconds; 0 if
 *     admitted
 * @param expectedWaitNanos how long a refused request would wait for a slot, in nanoseconds; 0 if
 *     admitted
 * @param maximumWaitNanos how long it may wait, in nanoseconds, negative if its remaining time is
 *     too short; 0 if admitted
 * @param cause the cause of a refusal; {@link RefusalCause#OVERLOAD} if admitted
 * @since 0.2
 */
public record AdmissionDecision(
        boolean admitted,
        long retryAfterNanos,
        long expectedWaitNanos,
        long maximumWaitNanos,
        RefusalCause cause) {

    /** The decision for a request that is admitted. */
    public static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0, 0, 0);

    /** Validates that only a refusal has a time for the retry. */
    public AdmissionDecision {
        Assert.notNegative(retryAfterNanos, "A time until the retry");
        Assert.notNull(cause, "A cause");
        Assert.isTrue(
                !admitted || retryAfterNanos == 0,
                "An admitted request must not have a time until the retry.");
    }

    /**
     * Creates a decision by the expected wait.
     *
     * @param admitted whether the request is admitted
     * @param retryAfterNanos the time after which the client should retry
     * @param expectedWaitNanos how long a refused request would wait for a slot
     * @param maximumWaitNanos how long it may wait
     */
    public AdmissionDecision(
            boolean admitted, long retryAfterNanos, long expectedWaitNanos, long maximumWaitNanos) {
        this(admitted, retryAfterNanos, expectedWaitNanos, maximumWaitNanos, RefusalCause.OVERLOAD);
    }

    /**
     * Returns the time after which the client should retry.
     *
     * @return the time, zero if admitted
     */
    public Duration retryAfter() {
        return Duration.ofNanos(retryAfterNanos);
    }
}
