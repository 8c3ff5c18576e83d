package io.masticpond.entry.replica;

import java.time.Duration;
import java.util.List;

/**
 * How current a replica is, for logs and metrics.
 *
 * @param usable whether requests can be decided on it
 * @param storeLost whether the store counts as lost
 * @param storeStateAge for how long the store's calls have failed or succeeded
 * @param unconfirmedServers how many servers are kept though their entries are gone
 * @param unreadableEntries how many entries of servers cannot be read now
 * @param unreadableSeen how many changes of entries could not be read since the start
 * @param categories the copies
 * @since 0.2
 */
public record ReplicaStatus(
        boolean usable,
        boolean storeLost,
        Duration storeStateAge,
        int unconfirmedServers,
        int unreadableEntries,
        long unreadableSeen,
        List<CategoryStatus> categories) {}
