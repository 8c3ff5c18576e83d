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
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** What an instance tells its neighbors of loads, and what it makes of theirs. */
class SharedLoadsTest {

    private static final ServiceId SERVICE = new ServiceId("reader");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final ReportedLoad FULL = new ReportedLoad(4, 2, 4);
    private static final ReportedLoad ROOM = new ReportedLoad(2, 0, 4);

    private final ServerTable mServers = table(0);
    private final ServerLoad mServer = mServers.of(SERVICE).get(0);
    private final SharedLoads mShared = new SharedLoads();

    @Example
    void serverWithRoomIsNotToldOf() {
        mShared.answered(mServer, ROOM);
        assertThat(mShared.hasPending()).isFalse();
    }

    @Example
    void fullServerIsToldOfAndOnceWhenItHasRoomAgain() {
        mShared.answered(mServer, FULL);
        assertThat(mShared.take()).containsExactly(new LoadReport(mServer.hash(), FULL));
        mShared.answered(mServer, ROOM);
        assertThat(mShared.take()).containsExactly(new LoadReport(mServer.hash(), ROOM));
        mShared.answered(mServer, ROOM);
        assertThat(mShared.take()).isEmpty();
        assertThat(mShared.reportedCount()).isEqualTo(2);
    }

    @Example
    void theNewestLoadIsTold() {
        mShared.answered(mServer, FULL);
        mShared.answered(mServer, new ReportedLoad(4, 9, 4));
        assertThat(mShared.take()).extracting(each -> each.load().waiting()).containsExactly(9);
    }

    @Example
    void whatNeighborsTellsCountsLikeAnAnswerAndFades() {
        mServers.of(SERVICE).forEach(server -> assertThat(server.inFlight(0)).isZero());
        mShared.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        assertThat(mServer.inFlight(0)).isGreaterThan(3);
        assertThat(mServer.inFlight(TimeUnit.SECONDS.toNanos(10))).isLessThan(0.1);
        assertThat(mShared.receivedCount()).isEqualTo(1);
    }

    @Example
    void whoHeardThatTheServerIsFullTellsThatItHasRoomAgain() {
        mShared.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        mShared.answered(mServer, ROOM);
        assertThat(mShared.take()).hasSize(1);
    }

    @Example
    void nonsenseIsCutAndUnknownServersAreNothing() {
        ReportedLoad nonsense = new ReportedLoad(255, 255, 1);
        mShared.receive(
                mServers,
                List.of(new LoadReport(mServer.hash(), nonsense), new LoadReport(99, nonsense)),
                0);
        assertThat(mServer.inFlight(0)).isLessThanOrEqualTo(16);
        assertThat(mShared.receivedCount()).isEqualTo(1);
    }

    @Example
    void serverThatStartedAgainIsNotFullForWhatItsFormerRunWas() {
        mShared.receive(mServers, List.of(new LoadReport(mServer.hash(), FULL)), 0);
        mServers.update(snapshot(1), 0);
        assertThat(mServers.of(SERVICE).get(0).inFlight(0)).isZero();
    }

    @Example
    void whatTheFormerRunAnswersIsNotToldOfTheNext() {
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

    @Example
    void stormOfFullServersTakesBoundedMemory() {
        for (int number = 0; number < 5_000; number++) {
            mShared.answered(
                    new ServerLoad(server("other-" + number, 0), Distance.SAME_ZONE), FULL);
        }
        int told = 0;
        while (mShared.hasPending()) {
            told += mShared.take().size();
        }
        assertThat(told).isBetween(500, 2_000);
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
