package io.masticpond.core.operation;

/**
 * Result of an attempt to claim a caller's own key.
 *
 * @since 0.1
 */
public sealed interface ClaimResult {

    /** The platform has stored the claim of this instance, which alone may run the operation. */
    record Claimed() implements ClaimResult {}

    /**
     * The caller's key is already claimed.
     *
     * @param operationKey the key under which the operation runs
     */
    record HeldBy(OperationKey operationKey) implements ClaimResult {}

    /**
     * The platform is unavailable. This instance never runs the operation as a result of this
     * attempt; whether an earlier attempt ran is unknown.
     */
    record Unavailable() implements ClaimResult {}

    /**
     * The bucket holds the maximum number of unexpired claims, and none of them is for this
     * caller's key.
     */
    record Full() implements ClaimResult {}
}
