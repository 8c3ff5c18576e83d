package io.masticpond.entry.log;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.routing.RoutingConfiguration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import net.jqwik.api.Example;

/** Tests for the view changes that {@link FleetSnapshotLog} logs. */
final class FleetSnapshotLogTest {

    private static final ZoneId ZONE = new ZoneId("z1");

    private final List<ViewChange> mChanges = new ArrayList<>();
    private final FleetSnapshotLog mLog =
            new FleetSnapshotLog(
                    new DecisionLog() {
                        @Override
                        public void requestEnded(RequestRecord request) {}

                        @Override
                        public void requestRetried(RequestRecord request) {}

                        @Override
                        public void viewChanged(ViewChange change) {
                            mChanges.add(change);
                        }

                        @Override
                        public void processChanged(ProcessChange change) {}
                    });

    @Example
    void logsInitialServersAsOneLine() {
        mLog.changed(
                snapshot(3, 1, Set.of(), server("b1", true, 0), server("b2", false, 500)),
                UpdateSource.PEER,
                0);
        assertThat(mChanges)
                .containsExactly(
                        new ViewChange.Routing(RequestRecord.UNKNOWN, 1, 3, UpdateSource.PEER),
                        new ViewChange.Registry(2, 1, 1, 3, UpdateSource.PEER));
    }

    @Example
    void logsEachLaterChangeOnce() {
        RegisteredServer unchanged = server("b1", false, 0);
        mLog.changed(
                snapshot(3, 1, Set.of(), unchanged, server("b2", false, 0)), UpdateSource.STORE, 0);
        mChanges.clear();
        FleetSnapshot next =
                snapshot(4, 2, Set.of(ZONE), server("b1", true, 0), server("b3", false, 500));
        mLog.changed(next, UpdateSource.STORE, 0);
        mLog.changed(next, UpdateSource.STORE, 10);
        assertThat(mChanges.stream().map(FleetSnapshotLogTest::describe))
                .containsExactlyInAnyOrder(
                        "1 to 2", "evacuated true", "b1 LEAVING", "b3 SEEN", "b3 COLD", "b2 GONE");
    }

    @Example
    void logsWarmedServersAndReturnedZones() {
        RegisteredServer cold = server("b1", false, 500);
        mLog.changed(snapshot(3, 1, Set.of(ZONE), cold), UpdateSource.STORE, 0);
        mChanges.clear();
        mLog.logWarmed(499);
        assertThat(mChanges).isEmpty();
        mLog.logWarmed(500);
        mLog.logWarmed(501);
        mLog.changed(snapshot(5, 1, Set.of(), cold), UpdateSource.STORE, 600);
        assertThat(mChanges.stream().map(FleetSnapshotLogTest::describe))
                .containsExactly("b1 WARM", "evacuated false");
    }

    private static String describe(ViewChange change) {
        if (change instanceof ViewChange.Server server) {
            return server.server() + " " + server.state();
        }
        if (change instanceof ViewChange.Zone zone) {
            return "evacuated " + zone.evacuated();
        }
        if (change instanceof ViewChange.Routing routing) {
            return routing.formerVersion() + " to " + routing.version();
        }
        return change.toString();
    }

    private static FleetSnapshot snapshot(
            long revision, long version, Set<ZoneId> evacuated, RegisteredServer... servers) {
        Map<BackendServerId, RegisteredServer> byId =
                Stream.of(servers)
                        .collect(Collectors.toMap(RegisteredServer::id, Function.identity()));
        RoutingConfiguration routing =
                new RoutingConfiguration(version, List.of(), Map.of(), RequestLimits.DEFAULT);
        return new FleetSnapshot(revision, Optional.of(routing), byId, evacuated);
    }

    private static RegisteredServer server(String id, boolean leaving, long coldUntilNanos) {
        return new RegisteredServer(
                new BackendServerId(id),
                new ServiceId("cart"),
                new ServerAddress("127.0.0.1", 80),
                ZONE,
                4,
                leaving,
                coldUntilNanos);
    }
}
