package io.masticpond.entry.replica;

import java.time.Duration;
import java.util.List;

/**
 * Snapshot of how current a replica is, for logs and metrics.
 *
 * @param usable whether requests can be routed by it
 * @param storeLost whether the store is considered lost
 * @param storeStateAge for how long the store's calls have failed or succeeded
 * @param unconfirmedServers the number of servers that are kept although their entries were removed
 * @param unreadableEntries the number of server entries that are currently unreadable
 * @param unreadableSeen the number of unreadable changes of entries since the start
 * @param callsGivenUp the number of watches and lists that were given up without an answer since
 *     the start
 * @param categories the status of each copy
 * @since 0.2
 */
public record ReplicaStatus(
        boolean usable,
        boolean storeLost,
        Duration storeStateAge,
        int unconfirmedServers,
        int unreadableEntries,
        long unreadableSeen,
        long callsGivenUp,
        List<CategoryStatus> categories) {}
