package io.masticpond.entry.settings;

import io.masticpond.core.crash.CrashSettings;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.serverlimit.ServerLimitSettings;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * All that one instance is told when it starts, and again when its settings change.
 *
 * @param instance its name, which a restart keeps
 * @param zone its availability zone
 * @param region its region
 * @param zones the region of each availability zone, its own included
 * @param listeners where it listens
 * @param seeds instances that may be asked first; they may be down, and only their IP address
 *     counts, since the internal port is the same on all instances
 * @param store the platform's store
 * @param reportInterval how often a backend server renews its entry in the registry
 * @param bounds the times and shares that the system promises to keep
 * @param tolerance how much may be lost at one time
 * @param resources what the process may use
 * @param placement how much each thing counts in the choice of a backend server
 * @param log how much is logged
 * @param crashes when a request counts as one that ends backend servers
 * @param serverLimits how far the limits that backend servers name may be exceeded
 * @param withdrawals for how long it counts that backend servers have withdrawn
 * @param workspaces how strictly keys and rates of workspaces are kept
 * @param spending what may be spent; without it spending has no cap
 * @since 0.2
 */
public record EntrySettings(
        InstanceId instance,
        ZoneId zone,
        RegionId region,
        Map<ZoneId, RegionId> zones,
        Listeners listeners,
        List<ServerAddress> seeds,
        Store store,
        Duration reportInterval,
        Bounds bounds,
        Tolerance tolerance,
        Resources resources,
        PlacementSettings placement,
        Log log,
        CrashSettings crashes,
        ServerLimitSettings serverLimits,
        WithdrawalSettings withdrawals,
        WorkspaceSettings workspaces,
        Optional<SpendingSettings> spending) {

    /** Checks that the zone is one of the zones and lies in the region; copies the collections. */
    public EntrySettings {
        zones = Map.copyOf(zones);
        seeds = List.copyOf(seeds);
        Assert.isTrue(
                region.equals(zones.get(zone)),
                "The availability zone %s of the instance must be listed in region %s.",
                zone,
                region);
    }

    /**
     * Where an instance listens.
     *
     * @param entry for requests of clients
     * @param readiness for questions whether it is ready
     * @param directory for clients that ask where to connect
     * @param internal for other instances, over TCP and UDP
     * @param metrics for its metrics, if anybody reads them
     * @since 0.2
     */
    public record Listeners(
            ServerAddress entry,
            ServerAddress readiness,
            ServerAddress directory,
            ServerAddress internal,
            Optional<ServerAddress> metrics) {}

    /**
     * The platform's store.
     *
     * @param address where it listens
     * @param readsPerSecond how many reads all instances together may make a second
     * @param writesPerSecond how many writes all instances together may make a second
     * @param history for how long it remembers changes
     * @param objectBytes the greatest length of an object
     * @param watchersInZone how many ready instances of an availability zone watch it while the
     *     others hear from them; 0 if all watch it
     * @since 0.2
     */
    public record Store(
            ServerAddress address,
            int readsPerSecond,
            int writesPerSecond,
            Duration history,
            int objectBytes,
            int watchersInZone) {}

    /**
     * How much may be lost at one time while the system keeps all that it promises.
     *
     * @param instances how many instances
     * @param zones how many availability zones
     * @param regions how many regions
     * @since 0.2
     */
    public record Tolerance(int instances, int zones, int regions) {}

    /**
     * How much is logged.
     *
     * @param linesPerSecond the greatest number of lines a second, over more than a second
     * @since 0.2
     */
    public record Log(int linesPerSecond) {

        /** Checks that it is positive. */
        public Log {
            Assert.positive(linesPerSecond, "A number of lines per second");
        }
    }

    /**
     * What the process may use.
     *
     * @param processorShare the share of a core
     * @param memoryMegabytes the memory, above which the process is killed
     * @param descriptors the file descriptors, sockets included
     * @since 0.2
     */
    public record Resources(double processorShare, int memoryMegabytes, int descriptors) {}
}
