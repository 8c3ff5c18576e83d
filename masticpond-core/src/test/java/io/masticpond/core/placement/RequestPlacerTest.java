package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/**
 * Guards against a choice that checks a server more than once: the caller counts the excluded
 * servers in the check, and logs the count in the line of the request.
 */
class RequestPlacerTest {

    private static final ServiceId SERVICE = new ServiceId("service");

    private final List<ServerLoad> mServers =
            IntStream.range(0, 4).mapToObj(RequestPlacerTest::server).toList();
    private final CountingCandidates mCandidates = new CountingCandidates();
    private LoadGate mGate = LoadGate.OPEN;

    @Example
    void excludesColdServersWithoutPermitAndChecksEachServerOnce() {
        mCandidates.mCold.addAll(mServers.subList(0, 3));
        assertThat(placed()).isSameAs(mServers.get(3));
        assertThat(mCandidates.mUsableCalls).isEqualTo(4);
        mCandidates.mCold.addAll(mServers);
        assertThat(place()).isInstanceOf(Placement.NoServer.class);
    }

    @Example
    void findsOtherHomeWithoutCheckingServersAgain() {
        ServerLoad first = placed();
        mCandidates.mUsableCalls = 0;
        mGate =
                (request, chosen, now) ->
                        chosen == first
                                ? Optional.of(new AdmissionDecision(false, 1, 1, 0))
                                : Optional.empty();
        ServerLoad other = placed();
        assertThat(other).isNotSameAs(first);
        assertThat(mCandidates.mUsableCalls).isEqualTo(4);
        mCandidates.mCold.add(other);
        assertThat(placed()).as("the next warm server").isNotIn(first, other);
    }

    private ServerLoad placed() {
        return ((Placement.Placed) place()).choice().load();
    }

    private Placement place() {
        ServerChooser chooser =
                new ServerChooser(
                        PlacementSettings.DEFAULT,
                        new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT));
        Route route =
                new Route(
                        new RouteId("r"),
                        "h",
                        "/",
                        true,
                        Duration.ofSeconds(2),
                        Duration.ofMillis(400),
                        1,
                        2,
                        true,
                        Set.of(),
                        List.of(new WeightedService(SERVICE, 1)));
        return new RequestPlacer(chooser, mGate)
                .place(
                        new PlacementRequest(route, SERVICE, 42, Optional.empty(), 1_000_000_000L),
                        mServers,
                        mCandidates,
                        0);
    }

    private static ServerLoad server(int number) {
        return new ServerLoad(
                new RegisteredServer(
                        new BackendServerId("server-" + number),
                        SERVICE,
                        new ServerAddress("127.0.0.1", 1_000 + number),
                        new ZoneId("z"),
                        4,
                        false,
                        0),
                Distance.SAME_ZONE);
    }

    /** Candidates that count the checks of servers and grant no permits. */
    private static final class CountingCandidates implements Candidates {

        private final Set<ServerLoad> mCold = new HashSet<>();
        private int mUsableCalls;

        @Override
        public boolean isUsable(ServerLoad load) {
            mUsableCalls++;
            return true;
        }

        @Override
        public boolean isCold(ServerLoad load) {
            return mCold.contains(load);
        }

        @Override
        public boolean tryPermit(ServerLoad load) {
            return false;
        }
    }
}
