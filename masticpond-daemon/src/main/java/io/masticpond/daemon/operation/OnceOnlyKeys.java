package io.masticpond.daemon.operation;

import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Keys by which a caller identifies a once-only operation.
 *
 * @param operationKey the operation key issued by a look-up, if any
 * @param idempotencyKey the caller's own key, if any; at most one of the two keys may be given
 * @param scope the namespace that separates the own keys of unrelated callers, such as their
 *     credentials
 * @param firstAttempt whether the caller states that it never sent this key before; without that
 *     statement an earlier attempt is assumed to have possibly run elsewhere
 * @since 0.1
 */
public record OnceOnlyKeys(
        Optional<String> operationKey,
        Optional<String> idempotencyKey,
        String scope,
        boolean firstAttempt) {

    /** Validates that at most one key is given. */
    public OnceOnlyKeys {
        Assert.isTrue(
                operationKey.isEmpty() || idempotencyKey.isEmpty(),
                "Only one kind of key may be given.");
        Assert.notNull(scope, "A scope");
    }
}
