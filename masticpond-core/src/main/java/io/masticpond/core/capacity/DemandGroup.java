package io.masticpond.core.capacity;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;

/**
 * Group of callers of a service, as it is identified in messages between instances.
 *
 * @param serviceHash the hash of the service
 * @param priority the priority of the requests, 0 is the most urgent
 * @param workspace the workspace of the callers
 * @since 0.3
 */
public record DemandGroup(int serviceHash, int priority, WorkspaceHash workspace) {

    /** Validates the components. */
    public DemandGroup {
        Assert.notNegative(priority, "A priority");
        Assert.notNull(workspace, "The hash of a workspace");
    }

    /**
     * Returns the group of a key.
     *
     * @param key the key
     * @return the group, which is the same at all instances
     */
    public static DemandGroup of(DemandKey key) {
        return new DemandGroup(hash(key.service()), key.priority(), key.workspace());
    }

    /**
     * Returns the hash of a service.
     *
     * @param service the service
     * @return the hash, which is the same at all instances
     */
    public static int hash(ServiceId service) {
        return service.value().hashCode();
    }

    /**
     * Returns the group of all callers of the same service and priority.
     *
     * @return the group without a workspace
     */
    public DemandGroup total() {
        return workspace.equals(WorkspaceHash.OTHERS)
                ? this
                : new DemandGroup(serviceHash, priority, WorkspaceHash.OTHERS);
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof DemandGroup that
                && serviceHash == that.serviceHash
                && priority == that.priority
                && workspace.equals(that.workspace);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * serviceHash + priority) + workspace.hashCode();
    }
}
