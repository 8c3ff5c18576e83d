package io.masticpond.core.probe;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.placement.ReportedLoad;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests which servers are probed, and when. */
class ProbePlannerTest {

    private static final ServiceId SERVICE = new ServiceId("lookup");
    private static final ZoneId ZONE = new ZoneId("a");
    private static final int SERVERS = 12;

    private final ServerTable mServers = new ServerTable(ZONE, Map.of(ZONE, new RegionId("r")));
    private final ServerChooser mChooser =
            new ServerChooser(
                    PlacementSettings.DEFAULT,
                    new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT));
    private final ProbePlanner mPlanner = new ProbePlanner(mChooser);
    private final Map<BackendServerId, ProbeObstacle> mObstacles = new HashMap<>();
    private final FakeTargets mTargets = new FakeTargets();

    ProbePlannerTest() {
        mServers.update(fleet(0), 0);
    }

    /** Guards against probes, which cost work of the servers, where they are not configured. */
    @Example
    void sendsNothingAtRateZero() {
        for (long now = 0; now < millis(5_000); now += millis(10)) {
            mPlanner.requested(request(now), now);
            assertThat(mPlanner.next(mTargets, now)).isEmpty();
        }
    }

    /** Guards against more probes than configured, also after a time without any. */
    @Example
    void sendsNoMoreThanTwoInAnySecondAtRateTwo() {
        mPlanner.setRate(2);
        List<Long> sent = new ArrayList<>();
        for (long now = millis(3_000); now < millis(13_000); now += millis(1)) {
            mPlanner.requested(request(now), now);
            Optional<ServerLoad> server = mPlanner.next(mTargets, now);
            if (server.isPresent()) {
                mPlanner.ended(server.get(), ProbeResult.ANSWERED, now);
                sent.add(now);
            }
        }
        assertThat(sent).hasSize(20);
        for (int index = 2; index < sent.size(); index++) {
            assertThat(sent.get(index) - sent.get(index - 2)).isGreaterThanOrEqualTo(millis(1_000));
        }
    }

    /** Guards against probes of servers for which no request chooses, or whose load is known. */
    @Example
    void probesOnlyHomesOfRecentKeysWithLoadsOutOfDate() {
        mPlanner.setRate(10);
        long now = millis(10_000);
        assertThat(mPlanner.next(mTargets, now)).as("no key was requested").isEmpty();
        mPlanner.requested(request(7), now);
        List<ServerLoad> homes = homes(7, now);
        homes.get(0).recordReport(new ReportedLoad(1, 0, 6), now - millis(100));
        homes.get(1).recordReport(new ReportedLoad(1, 0, 6), now - millis(600));
        assertThat(mPlanner.next(mTargets, now)).contains(homes.get(1));
        homes.get(1).recordReport(new ReportedLoad(1, 0, 6), now + millis(150));
        mPlanner.ended(homes.get(1), ProbeResult.ANSWERED, now + millis(150));
        assertThat(mPlanner.next(mTargets, now + millis(200))).isEmpty();
        assertThat(mPlanner.next(mTargets, now + millis(700))).contains(homes.get(0));
        mPlanner.ended(homes.get(0), ProbeResult.ANSWERED, now + millis(700));
        assertThat(mPlanner.next(mTargets, now + millis(1_000)))
                .as("the key was requested a second ago")
                .isEmpty();
    }

    /** Guards against probes of servers that have asked for fewer requests, or serve none. */
    @Example
    void probesNoServerWithObstacle() {
        for (ProbeObstacle obstacle : ProbeObstacle.values()) {
            new ProbePlannerTest().checkObstacle(obstacle);
        }
    }

    private void checkObstacle(ProbeObstacle obstacle) {
        mPlanner.setRate(10);
        homes(7, 0).forEach(home -> mObstacles.put(home.server().id(), obstacle));
        mPlanner.requested(request(7), 0);
        Optional<ServerLoad> probed = mPlanner.next(mTargets, 0);
        if (obstacle.takesRequests()) {
            assertThat(probed).as("%s: the homes still take the requests", obstacle).isEmpty();
        } else {
            assertThat(probed).as("%s: others have become the homes", obstacle).isPresent();
            assertThat(mObstacles).doesNotContainKey(probed.get().server().id());
        }
    }

    /** Guards against a second probe in flight, and against frequent probes of a silent server. */
    @Example
    void probesSilentServerAfterDelaysThatDoubleUpToFiveSeconds() {
        mPlanner.setRate(1_000);
        ServerLoad silent = homes(7, 0).get(0);
        List<Long> pauses = new ArrayList<>();
        long ended = 0;
        boolean isInFlight = false;
        long sent = 0;
        for (long now = 0; now < millis(30_000); now += millis(10)) {
            for (ServerLoad home : homes(7, now)) {
                if (home != silent) {
                    home.recordReport(new ReportedLoad(1, 0, 6), now);
                }
            }
            mPlanner.requested(request(7), now);
            if (mPlanner.next(mTargets, now).isPresent()) {
                assertThat(isInFlight).isFalse();
                isInFlight = true;
                pauses.add((now - ended) / millis(1));
                sent = now;
            } else if (isInFlight && now - sent == millis(500)) {
                mPlanner.ended(silent, ProbeResult.NO_ANSWER, now);
                isInFlight = false;
                ended = now;
            }
        }
        assertThat(pauses).containsExactly(0L, 1_000L, 2_000L, 4_000L, 5_000L, 5_000L, 5_000L);
    }

    /** Guards against a delay that outlasts an answer. */
    @Example
    void answerEndsTheDelay() {
        mPlanner.setRate(1_000);
        ServerLoad server = probe(0);
        mPlanner.ended(server, ProbeResult.NO_ANSWER, 0);
        mObstacles.clear();
        server = onlyHome(server, millis(1_000));
        mPlanner.ended(server, ProbeResult.ANSWERED, millis(1_000));
        assertThat(onlyHome(server, millis(1_010))).isSameAs(server);
    }

    /** Guards against a restarted server that waits for the delay of its former run. */
    @Example
    void probeOfTerminatedRunDoesNotDelayTheNextRun() {
        mPlanner.setRate(1_000);
        ServerLoad old = probe(0);
        mServers.update(fleet(1), millis(10));
        ServerLoad restarted =
                mServers.of(SERVICE).stream()
                        .filter(each -> each.server().id().equals(old.server().id()))
                        .findFirst()
                        .orElseThrow();
        assertThat(restarted).isNotSameAs(old);
        block(restarted);
        mPlanner.requested(request(7), millis(20));
        assertThat(mPlanner.next(mTargets, millis(20)))
                .as("the probe of the former run is in flight to the same id")
                .isEmpty();
        mPlanner.ended(old, ProbeResult.NO_ANSWER, millis(30));
        assertThat(mPlanner.next(mTargets, millis(40))).contains(restarted);
    }

    private ServerLoad probe(long now) {
        mPlanner.requested(request(7), now);
        return mPlanner.next(mTargets, now).orElseThrow();
    }

    /** Returns the server that is probed when a server is the only one without an obstacle. */
    private ServerLoad onlyHome(ServerLoad server, long now) {
        block(server);
        return probe(now);
    }

    /** Lets all servers but one be evacuated. */
    private void block(ServerLoad exempt) {
        mServers.of(SERVICE)
                .forEach(each -> mObstacles.put(each.server().id(), ProbeObstacle.EVACUATED));
        mObstacles.remove(exempt.server().id());
    }

    private List<ServerLoad> homes(long key, long now) {
        return mChooser.homeServers(mServers.of(SERVICE), request(key), now);
    }

    private static PlacementRequest request(long key) {
        Route route =
                new Route(
                        new RouteId("tariff-check"),
                        "host",
                        "/",
                        true,
                        Duration.ofSeconds(4),
                        Duration.ofMillis(544),
                        0,
                        2,
                        true,
                        Set.of(),
                        List.of(new WeightedService(SERVICE, 1)));
        return new PlacementRequest(
                route, SERVICE, key, Optional.empty(), TimeUnit.SECONDS.toNanos(4));
    }

    private static FleetSnapshot fleet(int run) {
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>();
        for (int index = 0; index < SERVERS; index++) {
            BackendServerId id = new BackendServerId("s-" + index);
            ServerAddress address = new ServerAddress("127.0.0.1", 1_000 + 100 * run + index);
            servers.put(id, new RegisteredServer(id, SERVICE, address, ZONE, 6, false, 0, run));
        }
        return new FleetSnapshot(1 + run, Optional.empty(), servers, Set.of());
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    /** Targets with the obstacles that a test sets. */
    private final class FakeTargets implements ProbeTargets {

        @Override
        public List<ServerLoad> servers(ServiceId service) {
            return mServers.of(service);
        }

        @Override
        public boolean allows(PlacementRequest request, ServerLoad server) {
            return true;
        }

        @Override
        public Optional<ProbeObstacle> obstacle(ServerLoad server, long nowNanos) {
            return Optional.ofNullable(mObstacles.get(server.server().id()));
        }

        @Override
        public long persistenceNanos(ServiceId service) {
            return millis(500);
        }
    }
}
