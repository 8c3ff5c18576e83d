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
 * Logs how one snapshot of routes and backend servers differs from the one before. One thread at a
 * time.
 *
 * @since 0.2
 */
public final class FleetSnapshotLog {

    private final DecisionLog mLog;
    private final Set<BackendServerId> mCold = new HashSet<>();
    private FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    /**
     * Starts from knowing nothing.
     *
     * @param log where changes go
     */
    public FleetSnapshotLog(DecisionLog log) {
        mLog = Assert.notNull(log, "A log");
    }

    /**
     * Logs what another snapshot changes. The first backend servers together are one line.
     *
     * @param snapshot the snapshot in force from now on
     * @param source where the news came from
     * @param nowNanos the monotonic time
     */
    public void changed(FleetSnapshot snapshot, UpdateSource source, long nowNanos) {
        FleetSnapshot before = mSnapshot;
        mSnapshot = snapshot;
        logRouting(before, source);
        logZones(before, source);
        if (before.servers().isEmpty() && snapshot.servers().size() > 1) {
            logFirst(source, nowNanos);
        } else if (!before.servers().equals(snapshot.servers())) {
            logServers(before, source, nowNanos);
        }
        logWarmed(nowNanos);
    }

    /**
     * Logs the backend servers that are cold no longer; call it when convenient.
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

    private void logRouting(FleetSnapshot before, UpdateSource source) {
        long former = version(before);
        long version = version(mSnapshot);
        if (version != former) {
            mLog.viewChanged(new ViewChange.Routing(former, version, mSnapshot.revision(), source));
        }
    }

    private static long version(FleetSnapshot snapshot) {
        return snapshot.routing().map(RoutingConfiguration::version).orElse(RequestRecord.UNKNOWN);
    }

    private void logZones(FleetSnapshot before, UpdateSource source) {
        for (ZoneId zone : mSnapshot.evacuatedZones()) {
            if (!before.evacuatedZones().contains(zone)) {
                logZone(zone, true, source);
            }
        }
        for (ZoneId zone : before.evacuatedZones()) {
            if (!mSnapshot.evacuatedZones().contains(zone)) {
                logZone(zone, false, source);
            }
        }
    }

    private void logZone(ZoneId zone, boolean evacuated, UpdateSource source) {
        mLog.viewChanged(new ViewChange.Zone(zone, evacuated, mSnapshot.revision(), source));
    }

    private void logFirst(UpdateSource source, long nowNanos) {
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

    private void logServers(FleetSnapshot before, UpdateSource source, long nowNanos) {
        for (RegisteredServer server : mSnapshot.servers().values()) {
            RegisteredServer former = before.servers().get(server.id());
            if (former == null) {
                logServer(server, ServerState.SEEN, source);
            } else if (!former.isSameRun(server)) {
                logServer(server, ServerState.RESTARTED, source);
            }
            if (server.leaving() && (former == null || !former.leaving())) {
                logServer(server, ServerState.LEAVING, source);
            }
            if (server.isCold(nowNanos) && mCold.add(server.id())) {
                logServer(server, ServerState.COLD, source);
            }
        }
        for (RegisteredServer former : before.servers().values()) {
            if (!mSnapshot.servers().containsKey(former.id())) {
                logServer(former, ServerState.GONE, source);
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
