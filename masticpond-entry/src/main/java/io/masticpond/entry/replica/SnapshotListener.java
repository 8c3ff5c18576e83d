package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetSnapshot;

/**
 * Hears each new snapshot of routes, servers and evacuations, on the control thread.
 *
 * @since 0.2
 */
public interface SnapshotListener {

    /**
     * Hears a snapshot.
     *
     * @param snapshot the snapshot in force from now on
     * @param source who told what is new in it, none if this instance's own clock made it
     */
    void changed(FleetSnapshot snapshot, CopySource source);
}
