package io.masticpond.entry.forward;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.support.Assert;
import java.util.Optional;

/**
 * Terms on which another instance may send a forwarded request to backend servers.
 *
 * @param service the service that the forwarding instance chose
 * @param workspace the workspace whose key the forwarding instance has checked, if any
 * @param attempts the maximum number of backend servers that may still be tried
 * @param proofAgeMillis the age of the proof that the key was valid, in milliseconds; 0 without a
 *     workspace
 * @since 0.3
 */
public record ForwardTerms(
        ServiceId service, Optional<WorkspaceId> workspace, int attempts, long proofAgeMillis) {

    /** Validates the components. */
    public ForwardTerms {
        Assert.notNull(service, "A service");
        Assert.notNull(workspace, "A workspace");
        Assert.positive(attempts, "A number of attempts");
        Assert.notNegative(proofAgeMillis, "The age of a proof");
    }
}
