package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;

/**
 * Group of callers of a service whose demand is counted together.
 *
 * @param service the service
 * @param priority the priority of the requests, 0 is the most urgent
 * @param workspace the workspace of the callers
 * @since 0.3
 */
public record DemandKey(ServiceId service, int priority, WorkspaceHash workspace) {

    /** Validates the components. */
    public DemandKey {
        Assert.notNull(service, "A service");
        Assert.notNegative(priority, "A priority");
        Assert.notNull(workspace, "The hash of a workspace");
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof DemandKey that
                && priority == that.priority
                && workspace.equals(that.workspace)
                && service.equals(that.service);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * service.hashCode() + priority) + workspace.hashCode();
    }
}
