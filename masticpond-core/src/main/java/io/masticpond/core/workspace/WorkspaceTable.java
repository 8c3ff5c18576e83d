package io.masticpond.core.workspace;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The workspaces of one version of the configuration, found by key. Immutable.
 *
 * @since 0.2
 */
public final class WorkspaceTable {

    /** No workspace is stated: requests need no key. */
    public static final WorkspaceTable EMPTY = new WorkspaceTable(List.of());

    private final Map<WorkspaceId, Workspace> mWorkspaces = new HashMap<>();
    private final Map<KeyDigest, Workspace> mByKey = new HashMap<>();

    /**
     * Makes the table.
     *
     * @param workspaces the workspaces
     * @throws IllegalArgumentException if a key stands in two of them
     */
    public WorkspaceTable(Collection<Workspace> workspaces) {
        for (Workspace workspace : workspaces) {
            mWorkspaces.put(workspace.id(), workspace);
            for (KeyDigest key : workspace.keys()) {
                Workspace other = mByKey.putIfAbsent(key, workspace);
                Assert.isTrue(
                        other == null,
                        "A key must open one workspace, but one opens %s and %s.",
                        other == null ? "" : other.id(),
                        workspace.id());
            }
        }
    }

    /**
     * Tells whether workspaces are stated at all, so that requests need keys.
     *
     * @return whether there is none
     */
    public boolean isEmpty() {
        return mWorkspaces.isEmpty();
    }

    /**
     * Finds the workspace that a key opens.
     *
     * @param key the digest of the key
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<Workspace> findByKey(KeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /**
     * Finds a workspace by its name.
     *
     * @param id the name
     * @return the workspace, if it is stated
     */
    public Optional<Workspace> find(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaces.get(id));
    }

    /**
     * Gives all workspaces.
     *
     * @return the workspaces, in no order
     */
    public Collection<Workspace> all() {
        return Collections.unmodifiableCollection(mWorkspaces.values());
    }

    /**
     * Counts the keys of all workspaces.
     *
     * @return the count
     */
    public int keys() {
        return mByKey.size();
    }
}
