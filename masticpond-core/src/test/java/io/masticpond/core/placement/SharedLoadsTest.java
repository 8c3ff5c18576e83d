package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests which loads an instance reports to its neighbors, and how it applies theirs. */
class SharedLoadsTest {

    private static final ServiceId SERVICE = new ServiceId("reader");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ReportedLoad FULL = new ReportedLoad(4, 2, 4);
    private static final ReportedLoad WITH_FREE_SLOT = new ReportedLoad(2, 0, 4);

    private final ServiceSpeeds mSpeeds =
            new ServiceSpeeds(new LoadControlActivation(LoadControlSettings.DEFAULT));
    private final ServerTable mServers = table(0);
    private final ServerLoad mServer = mServers.of(SERVICE).get(0);
    private final SharedLoads mSharedLoads = new SharedLoads(mSpeeds);

    @Example
    void doesNotReportServerWithFreeSlot() {
        mSharedLoads.recordLoad(mServer, WITH_FREE_SLOT, 0);
        assertThat(mSharedLoads.hasPending()).isFalse();
    }

    @Example
    void reportsFullServerAndOnceWhenSlotIsFreeAgain() {
        mSharedLoads.recordLoad(mServer, FULL, 0);
        assertThat(mSharedLoads.take()).containsExactly(new LoadReport(mServer.hash(), FULL));
        mSharedLoads.recordLoad(mServer, WITH_FREE_SLOT, 0);
        assertThat(mSharedLoads.take())
                .containsExactly(new LoadReport(mServer.hash(), WITH_FREE_SLOT));
        mSharedLoads.recordLoad(mServer, WITH_FREE_SLOT, 0);
        assertThat(mSharedLoads.take()).isEmpty();
        assertThat(mSharedLoads.reportedCount()).isEqualTo(2);
    }

    @Example
    void reportsLatestLoad() {
        mSharedLoads.recordLoad(mServer, FULL, 0);
        mSharedLoads.recordLoad(mServer, new ReportedLoad(4, 9, 4), 0);
        assertThat(mSharedLoads.take())
                .extracting(each -> each.load().waiting())
                .containsExactly(9);
    }

    @Example
    void appliesReportOfNeighborLikeAnswerAndDecaysIt() {
        mServers.of(SERVICE).forEach(server -> assertThat(server.inFlight(0)).isZero());
        mSharedLoads.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        assertThat(mServer.inFlight(0)).isGreaterThan(3);
        assertThat(mServer.inFlight(TimeUnit.SECONDS.toNanos(10))).isLessThan(0.1);
        assertThat(mSharedLoads.receivedCount()).isEqualTo(1);
    }

    @Example
    void reportsFreeSlotAfterReceivingThatServerIsFull() {
        mSharedLoads.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        mSharedLoads.recordLoad(mServer, WITH_FREE_SLOT, 0);
        assertThat(mSharedLoads.take()).hasSize(1);
    }

    @Example
    void capsImplausibleLoadAndIgnoresUnknownServer() {
        ReportedLoad implausible = new ReportedLoad(255, 255, 1);
        mSharedLoads.receive(
                mServers,
                List.of(
                        new LoadReport(mServer.hash(), implausible),
                        new LoadReport(99, implausible)),
                0);
        assertThat(mServer.inFlight(0)).isLessThanOrEqualTo(16);
        assertThat(mSharedLoads.receivedCount()).isEqualTo(1);
    }

    @Example
    void restartedServerDoesNotInheritLoad() {
        mSharedLoads.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        mServers.update(snapshot(1), 0);
        assertThat(mServers.of(SERVICE).get(0).inFlight(0)).isZero();
    }

    @Example
    void doesNotReportAnswerOfTerminatedRun() {
        RequestPlacer placer =
                new RequestPlacer(
                        new ServerChooser(
                                PlacementSettings.DEFAULT,
                                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT)),
                        LoadGate.OPEN);
        mServers.update(snapshot(1), 0);
        placer.reported(mServer, FULL, 0);
        assertThat(placer.sharedLoads().hasPending()).isFalse();
        placer.reported(mServers.of(SERVICE).get(0), FULL, 0);
        assertThat(placer.sharedLoads().hasPending()).isTrue();
    }

    /**
     * Guards against neighbors that send requests to a slow server, or avoid one that recovered.
     */
    @Example
    void reportsServerThatBecomesSlowAndOnceWhenItIsNormalAgain() {
        for (int each = 0; each < 20; each++) {
            report(100, 0);
        }
        assertThat(mSharedLoads.hasPending()).isFalse();
        report(250, 1);
        assertThat(mSharedLoads.take()).hasSize(1);
        report(250, 2);
        assertThat(mSharedLoads.hasPending()).as("already reported").isFalse();
        report(250, TimeUnit.SECONDS.toNanos(1));
        assertThat(mSharedLoads.take()).as("the first report is outdated").hasSize(1);
        report(100, TimeUnit.SECONDS.toNanos(1) + 1);
        assertThat(mSharedLoads.take()).hasSize(1);
        report(100, TimeUnit.SECONDS.toNanos(1) + 2);
        assertThat(mSharedLoads.hasPending()).isFalse();
    }

    /** Guards against a service that is active only at the instance that received the answer. */
    @Example
    void activatesServiceOfSlowServerThatNeighborReports() {
        ReportedLoad slow = new ReportedLoad(2, 0, 4, OptionalInt.of(250));
        mSharedLoads.receive(mServers, List.of(new LoadReport(mServer.hash(), slow)), 0);
        assertThat(mSpeeds.isActive(SERVICE, 0)).isTrue();
        assertThat(mServer.speed().reportedSlowdown()).isEqualTo(2.5);
    }

    private void report(int percent, long nowNanos) {
        ReportedLoad load = new ReportedLoad(2, 0, 4, OptionalInt.of(percent));
        mSpeeds.recordAnswer(mServer, load, nowNanos);
        mSharedLoads.recordLoad(mServer, load, nowNanos);
    }

    @Example
    void boundsMemoryForManyFullServers() {
        for (int number = 0; number < 5_000; number++) {
            mSharedLoads.recordLoad(
                    new ServerLoad(server("other-" + number, 0), Distance.SAME_ZONE), FULL, 0);
        }
        int reported = 0;
        while (mSharedLoads.hasPending()) {
            reported += mSharedLoads.take().size();
        }
        assertThat(reported).isBetween(500, 2_000);
    }

    private static ServerTable table(int run) {
        ServerTable table = new ServerTable(ZONE, Map.of(ZONE, new RegionId("r")));
        table.update(snapshot(run), 0);
        return table;
    }

    private static FleetSnapshot snapshot(int run) {
        RegisteredServer server = server("server-1", run);
        return new FleetSnapshot(1 + run, Optional.empty(), Map.of(server.id(), server), Set.of());
    }

    private static RegisteredServer server(String id, int run) {
        return new RegisteredServer(
                        new BackendServerId(id),
                        SERVICE,
                        new ServerAddress("127.0.0.1", 1_000),
                        ZONE,
                        4,
                        false,
                        0)
                .withRun(run);
    }
}
