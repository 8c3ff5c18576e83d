package io.masticpond.core.operation;

import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;

/**
 * Claims of one bucket as stored at the platform in one version.
 *
 * @param version the version, or 0 if the bucket does not exist yet
 * @param claims the operation key for each caller's key
 * @since 0.1
 */
public record ClaimContents(long version, Map<CallerKey, OperationKey> claims) {

    /** Contents of a bucket that does not exist yet. */
    public static final ClaimContents ABSENT = new ClaimContents(0, Map.of());

    /** Validates the version and copies the claims. */
    public ClaimContents {
        Assert.notNegative(version, "The version of a bucket");
        claims = Map.copyOf(claims);
    }

    /**
     * Returns the claims that must still be retained.
     *
     * @param forgetBeforeMillis keys that expired before this time are dropped
     * @return a modifiable copy
     */
    Map<CallerKey, OperationKey> unexpired(long forgetBeforeMillis) {
        Map<CallerKey, OperationKey> retained = new HashMap<>(claims);
        retained.values().removeIf(key -> key.expiresMillis() < forgetBeforeMillis);
        return retained;
    }
}
