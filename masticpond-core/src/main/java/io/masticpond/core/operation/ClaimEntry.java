package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;

/**
 * Binding of a caller's own key to the operation key issued by the instance that claims it, its
 * home.
 *
 * @param callerKey the name of the claim
 * @param operationKey the key under which the operation runs, issued by the claimer
 * @since 0.1
 */
public record ClaimEntry(CallerKey callerKey, OperationKey operationKey) {

    /** Validates that both components are present. */
    public ClaimEntry {
        Assert.notNull(callerKey, "A caller's key");
        Assert.notNull(operationKey, "An operation key");
    }
}
