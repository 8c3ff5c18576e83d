package io.masticpond.entry.log;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.ViewChange.ServerState;
import java.util.HashSet;
import java.util.Set;

/**
 * Log of the differences between consecutive snapshots of the routes and backend servers. Not
 * thread-safe: to be used by one thread at a time.
 *
 * @since 0.2
 */
public final class FleetSnapshotLog {

    private final DecisionLog mLog;
    private final Set<BackendServerId> mCold = new HashSet<>();
    private FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    /**
     * Creates a log whose previous snapshot is empty.
     *
     * @param log the log that receives the changes
     */
    public FleetSnapshotLog(DecisionLog log) {
        mLog = Assert.notNull(log, "A log");
    }

    /**
     * Logs the changes that a new snapshot brings. The initial backend servers are logged together
     * as one line.
     *
     * @param snapshot the snapshot in force from now on
     * @param source the source of the update
     * @param nowNanos the monotonic time
     */
    public void changed(FleetSnapshot snapshot, UpdateSource source, long nowNanos) {
        FleetSnapshot previous = mSnapshot;
        mSnapshot = snapshot;
        logRouting(previous, source);
        logZones(previous, source);
        if (previous.servers().isEmpty() && snapshot.servers().size() > 1) {
            logInitialServers(source, nowNanos);
        } else if (!previous.servers().equals(snapshot.servers())) {
            logServers(previous, source, nowNanos);
        }
        logWarmed(nowNanos);
    }

    /**
     * Logs the backend servers that are no longer cold. The delay between calls only delays the
     * lines.
     *
     * @param nowNanos the monotonic time
     */
    public void logWarmed(long nowNanos) {
        if (mCold.isEmpty()) {
            return;
        }
        mCold.removeIf(
                id -> {
                    RegisteredServer server = mSnapshot.servers().get(id);
                    if (server != null && server.isCold(nowNanos)) {
                        return false;
                    }
                    if (server != null) {
                        logServer(server, ServerState.WARM, UpdateSource.SELF);
                    }
                    return true;
                });
    }

    private void logRouting(FleetSnapshot previous, UpdateSource source) {
        long previousVersion = version(previous);
        long version = version(mSnapshot);
        if (version != previousVersion) {
            mLog.viewChanged(
                    new ViewChange.Routing(previousVersion, version, mSnapshot.revision(), source));
        }
    }

    private static long version(FleetSnapshot snapshot) {
        return snapshot.routing().map(RoutingConfiguration::version).orElse(RequestRecord.UNKNOWN);
    }

    private void logZones(FleetSnapshot previous, UpdateSource source) {
        for (ZoneId zone : mSnapshot.evacuatedZones()) {
            if (!previous.evacuatedZones().contains(zone)) {
                logZone(zone, true, source);
            }
        }
        for (ZoneId zone : previous.evacuatedZones()) {
            if (!mSnapshot.evacuatedZones().contains(zone)) {
                logZone(zone, false, source);
            }
        }
    }

    private void logZone(ZoneId zone, boolean evacuated, UpdateSource source) {
        mLog.viewChanged(new ViewChange.Zone(zone, evacuated, mSnapshot.revision(), source));
    }

    private void logInitialServers(UpdateSource source, long nowNanos) {
        int leaving = 0;
        for (RegisteredServer server : mSnapshot.servers().values()) {
            if (server.leaving()) {
                leaving++;
            }
            if (server.isCold(nowNanos)) {
                mCold.add(server.id());
            }
        }
        mLog.viewChanged(
                new ViewChange.Registry(
                        mSnapshot.servers().size(),
                        leaving,
                        mCold.size(),
                        mSnapshot.revision(),
                        source));
    }

    private void logServers(FleetSnapshot previous, UpdateSource source, long nowNanos) {
        for (RegisteredServer server : mSnapshot.servers().values()) {
            RegisteredServer previousServer = previous.servers().get(server.id());
            if (previousServer == null) {
                logServer(server, ServerState.SEEN, source);
            } else if (!previousServer.isSameRun(server)) {
                logServer(server, ServerState.RESTARTED, source);
            }
            if (server.leaving() && (previousServer == null || !previousServer.leaving())) {
                logServer(server, ServerState.LEAVING, source);
            }
            if (server.isCold(nowNanos) && mCold.add(server.id())) {
                logServer(server, ServerState.COLD, source);
            }
        }
        for (RegisteredServer previousServer : previous.servers().values()) {
            if (!mSnapshot.servers().containsKey(previousServer.id())) {
                logServer(previousServer, ServerState.GONE, source);
            }
        }
    }

    private void logServer(RegisteredServer server, ServerState state, UpdateSource source) {
        mLog.viewChanged(
                new ViewChange.Server(
                        server.id(),
                        server.service(),
                        server.zone(),
                        state,
                        mSnapshot.revision(),
                        source));
    }
}
