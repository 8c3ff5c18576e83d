package io.masticpond.daemon.operation;

import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * What a caller said about the identity of a once-only operation.
 *
 * @param operationKey the operation key that a look-up gave, if any
 * @param idempotencyKey the caller's own key, if any; at most one of both may be given
 * @param scope what keeps the own keys of unrelated callers apart, such as their credentials
 * @param firstAttempt whether the caller says that it never sent this key before; without that word
 *     the system takes it that an earlier attempt may have run elsewhere
 * @since 0.1
 */
public record OnceOnlyKeys(
        Optional<String> operationKey,
        Optional<String> idempotencyKey,
        String scope,
        boolean firstAttempt) {

    /** Checks that at most one key is given. */
    public OnceOnlyKeys {
        Assert.isTrue(
                operationKey.isEmpty() || idempotencyKey.isEmpty(),
                "Only one kind of key may be given.");
        Assert.notNull(scope, "A scope");
    }
}
