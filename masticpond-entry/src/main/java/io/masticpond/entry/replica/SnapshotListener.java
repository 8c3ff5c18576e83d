package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetSnapshot;

/**
 * Callback interface for new snapshots of routes, servers and evacuations. Called on the control
 * thread.
 *
 * @since 0.2
 */
public interface SnapshotListener {

    /**
     * Called with a new snapshot.
     *
     * @param snapshot the snapshot in force from now on
     * @param source the source of its changes, {@link CopySource#NONE} if only time has passed
     */
    void changed(FleetSnapshot snapshot, CopySource source);
}
