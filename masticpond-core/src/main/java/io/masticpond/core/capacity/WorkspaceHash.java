package io.masticpond.core.capacity;

import io.masticpond.core.id.WorkspaceId;
import java.util.Optional;

/**
 * Hash that identifies a workspace in messages between instances.
 *
 * @param value the hash; 0 stands for all callers that are not listed separately
 * @since 0.3
 */
public record WorkspaceHash(int value) {

    /** Callers without a workspace, and those that are not listed separately. */
    public static final WorkspaceHash OTHERS = new WorkspaceHash(0);

    /**
     * Returns the hash of a workspace.
     *
     * @param workspace the workspace, or empty for callers without one
     * @return the hash, which is the same at all instances
     */
    public static WorkspaceHash of(Optional<WorkspaceId> workspace) {
        if (workspace.isEmpty()) {
            return OTHERS;
        }
        int hash = workspace.get().value().hashCode();
        return new WorkspaceHash(hash == 0 ? 1 : hash);
    }

    /**
     * Explicit, since the generated implementation of a record is linked at its first use, which
     * would be during startup.
     */
    @Override
    public boolean equals(Object other) {
        return other instanceof WorkspaceHash that && value == that.value;
    }

    @Override
    public int hashCode() {
        return value;
    }
}
