package io.masticpond.core.workspace;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Immutable index, by key, of the workspaces of one configuration version. A table without
 * workspaces accepts no key; that requests need none is stated by the absence of a table.
 *
 * @since 0.2
 */
public final class WorkspaceTable {

    private final Map<WorkspaceId, Workspace> mWorkspaces = new HashMap<>();
    private final Map<KeyDigest, Workspace> mByKey = new HashMap<>();
    private final boolean mComplete;

    /**
     * Creates a complete table of the given workspaces.
     *
     * @param workspaces the workspaces
     * @throws IllegalArgumentException if two workspaces contain the same key
     */
    public WorkspaceTable(Collection<Workspace> workspaces) {
        this(workspaces, true);
    }

    /**
     * Creates a table of the given workspaces.
     *
     * @param workspaces the workspaces
     * @param complete whether these are all; if not, an unknown key may belong to one that could
     *     not be read
     * @throws IllegalArgumentException if two workspaces contain the same key
     */
    public WorkspaceTable(Collection<Workspace> workspaces, boolean complete) {
        mComplete = complete;
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
     * Determines whether a key that is not in the table belongs to no workspace.
     *
     * @return {@code false} if some workspaces could not be read
     */
    public boolean isComplete() {
        return mComplete;
    }

    /**
     * Returns the workspace to which a key belongs.
     *
     * @param key the digest of the key
     * @return the workspace, or empty if the key is unknown
     */
    public Optional<Workspace> findByKey(KeyDigest key) {
        return Optional.ofNullable(mByKey.get(key));
    }

    /**
     * Returns the workspace with the given id.
     *
     * @param id the id of the workspace
     * @return the workspace, or empty if it is not configured
     */
    public Optional<Workspace> find(WorkspaceId id) {
        return Optional.ofNullable(mWorkspaces.get(id));
    }

    /**
     * Returns all workspaces.
     *
     * @return an unmodifiable collection of the workspaces, in no particular order
     */
    public Collection<Workspace> all() {
        return Collections.unmodifiableCollection(mWorkspaces.values());
    }

    /**
     * Returns the number of keys of all workspaces.
     *
     * @return the number of keys
     */
    public int keyCount() {
        return mByKey.size();
    }
}
