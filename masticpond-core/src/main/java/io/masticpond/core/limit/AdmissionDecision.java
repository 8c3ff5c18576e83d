package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * Whether a request is admitted, and otherwise when its client should return.
 *
 * @param admitted whether it is admitted
 * @param retryAfterNanos the time until the client should return; 0 if admitted
 * @param expectedWaitNanos how long a refused request would wait for a slot; 0 if admitted
 * @param longestWaitNanos how long it may wait, negative if its time is too short; 0 if admitted
 * @since 0.2
 */
public record AdmissionDecision(
        boolean admitted, long retryAfterNanos, long expectedWaitNanos, long longestWaitNanos) {

    /** The answer to a request that is admitted. */
    public static final AdmissionDecision ADMITTED = new AdmissionDecision(true, 0, 0, 0);

    /** Checks that only a refusal has a time. */
    public AdmissionDecision {
        Assert.notNegative(retryAfterNanos, "A time until the return");
        Assert.isTrue(
                !admitted || retryAfterNanos == 0, "An admitted request must not have to return.");
    }
}
