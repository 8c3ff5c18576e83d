package io.masticpond.entry.settings;

import io.masticpond.core.crash.CrashSettings;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.reachability.ReachabilitySettings;
import io.masticpond.core.serverlimit.ServerLimitSettings;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Settings of one instance, read when it starts and again when they change.
 *
 * @param instance its id, which a restart does not change
 * @param zone its availability zone
 * @param region its region
 * @param zones the region of each availability zone, including its own
 * @param listeners the addresses at which it listens
 * @param seeds instances to contact first; they may be down, and only their IP address is used,
 *     since the internal port is the same on all instances
 * @param store the platform's store
 * @param reportInterval the interval in which a backend server renews its entry in the registry
 * @param bounds the times and shares that the system guarantees
 * @param tolerance how much may be lost at the same time
 * @param resources the resources that the process may use
 * @param placement the weights in the choice of a backend server
 * @param log how much is logged
 * @param crashes when a request counts as one that terminates backend servers
 * @param serverLimits how far the limits that backend servers state may be exceeded
 * @param withdrawals how long the withdrawal of a backend server remains in effect
 * @param reachability when a service counts as unreachable, and how its requests are forwarded
 * @param loadControl for which services load control is active, and its limits
 * @param workspaces how strictly keys and rates of workspaces are enforced
 * @param spending the spending caps; if absent, spending is not capped
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
        ReachabilitySettings reachability,
        LoadControlSettings loadControl,
        WorkspaceSettings workspaces,
        Optional<SpendingSettings> spending) {

    /** Validates that the zone is listed and belongs to the region; copies the collections. */
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
     * Addresses at which an instance listens.
     *
     * @param entry the address for requests of clients
     * @param readiness the address for readiness checks
     * @param directory the address for clients that query where to connect
     * @param internal the address for other instances, over TCP and UDP
     * @param forward the address for requests that other instances forward, if it accepts any; the
     *     port is the same on all instances
     * @param metrics the address for scrapes of its metrics, if they are exposed
     * @since 0.2
     */
    public record Listeners(
            ServerAddress entry,
            ServerAddress readiness,
            ServerAddress directory,
            ServerAddress internal,
            Optional<ServerAddress> forward,
            Optional<ServerAddress> metrics) {}

    /**
     * Settings of the platform's store.
     *
     * @param address the address at which it listens
     * @param readsPerSecond the maximum number of reads per second of all instances together
     * @param writesPerSecond the maximum number of writes per second of all instances together
     * @param history the time for which it remembers changes
     * @param objectBytes the maximum size of an object
     * @param watchersInZone the number of ready instances of an availability zone that watch it and
     *     relay its changes to the others; 0 if all watch it
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
     * Number of failures at the same time during which the system keeps all its guarantees.
     *
     * @param instances the number of instances
     * @param zones the number of availability zones
     * @param regions the number of regions
     * @since 0.2
     */
    public record Tolerance(int instances, int zones, int regions) {}

    /**
     * Settings of the log.
     *
     * @param linesPerSecond the maximum number of lines per second, averaged over more than one
     *     second
     * @since 0.2
     */
    public record Log(int linesPerSecond) {

        /** Validates that the number is positive. */
        public Log {
            Assert.positive(linesPerSecond, "A number of lines per second");
        }
    }

    /**
     * Resources that the process may use.
     *
     * @param processorShare the share of a processor core
     * @param memoryMegabytes the memory in megabytes, above which the process is killed
     * @param descriptors the number of file descriptors, including sockets
     * @since 0.2
     */
    public record Resources(double processorShare, int memoryMegabytes, int descriptors) {}
}
