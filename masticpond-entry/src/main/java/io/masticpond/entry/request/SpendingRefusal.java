package io.masticpond.entry.request;

import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.SpendingInputs;
import java.time.Duration;

/**
 * Reason for which an attempt is not charged and must not be made.
 *
 * @param cause the cause, from a fixed set of values
 * @param retryAfter after how long a charge may succeed
 * @param inputs the inputs of the decision
 * @since 0.3
 */
public record SpendingRefusal(String cause, Duration retryAfter, SpendingInputs inputs) {

    /** Validates the components. */
    public SpendingRefusal {
        Assert.hasText(cause, "A cause");
        Assert.notNull(retryAfter, "A retry delay");
        Assert.notNull(inputs, "The inputs of a refusal");
    }
}
