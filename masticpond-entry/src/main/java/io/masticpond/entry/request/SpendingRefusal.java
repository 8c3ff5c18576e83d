package io.masticpond.entry.request;

import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.SpendingInputs;
import java.time.Duration;

/**
 * Says why an attempt is not paid for.
 *
 * @param cause the cause, from a fixed set of words
 * @param retryAfter after how long it may be paid for
 * @param inputs what decided it
 * @since 0.3
 */
public record SpendingRefusal(String cause, Duration retryAfter, SpendingInputs inputs) {

    /** Checks the parts. */
    public SpendingRefusal {
        Assert.hasText(cause, "A cause");
        Assert.notNull(retryAfter, "A time to come back");
        Assert.notNull(inputs, "The inputs of a refusal");
    }
}
