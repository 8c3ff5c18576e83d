package io.masticpond.entry.forward;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.workspace.KeyDigest;
import java.util.Optional;

/**
 * Terms on which another instance may send a forwarded request to backend servers.
 *
 * @param service the service that the forwarding instance chose
 * @param key the digest of the client's key, which every instance checks for itself, if any
 * @param attempts the maximum number of backend servers that may still be tried
 * @since 0.3
 */
public record ForwardTerms(ServiceId service, Optional<KeyDigest> key, int attempts) {

    /** Validates the components. */
    public ForwardTerms {
        Assert.notNull(service, "A service");
        Assert.notNull(key, "A key");
        Assert.positive(attempts, "A number of attempts");
    }
}
