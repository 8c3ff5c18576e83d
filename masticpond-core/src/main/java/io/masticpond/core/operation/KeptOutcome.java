package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;

/**
 * Outcome that a home retains, in the form that is handed over and written to the platform.
 *
 * @param <A> the whole answer of a backend server
 * @param key the key
 * @param fingerprint the fingerprint of the request
 * @param outcome the outcome of the operation
 * @since 0.1
 */
public record KeptOutcome<A>(
        OperationKey key, Fingerprint fingerprint, OperationOutcome<A> outcome) {

    /** Validates that all components are present. */
    public KeptOutcome {
        Assert.notNull(key, "An operation key");
        Assert.notNull(fingerprint, "A fingerprint");
        Assert.notNull(outcome, "An outcome");
    }
}
