package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.probe.ProbeObstacle;
import io.masticpond.core.probe.ProbeResult;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests what answers to probes change, and which servers must not be probed. */
class ProbedServersTest extends AbstractRequestFlowTest {

    private final RequestFlow mFlow = flow(true, 2);
    private final ProbedServers mServers = new ProbedServers(mFlow, service -> 1);
    private final ServerLoad mServer = mFlow.servers().of(SERVICE).get(0);

    /** Guards against a probe without effect, and one that counts as a request or a success. */
    @Example
    void answerUpdatesTheLoadAndNothingElse() {
        assertThat(mServer.reportAgeNanos(now())).isEqualTo(Long.MAX_VALUE);
        assertThat(answer(200, "Load", "2,1,2")).isEqualTo(ProbeResult.ANSWERED);
        assertThat(mServer.reportAgeNanos(now())).isZero();
        assertThat(mServer.inFlight(now())).isPositive();
        assertThat(mServer.ownInFlight()).isZero();
        assertThat(mServer.serviceNanos()).isZero();
        assertThat(mFlow.openRequests()).isZero();
        assertThat(
                        mFlow.placer()
                                .chooser()
                                .outlierDetector()
                                .evaluation(SERVICE, mServer.server().id(), now()))
                .isEmpty();
    }

    /** Guards against a rejected probe that counts as a failure of the server. */
    @Example
    void rejectionUpdatesTheLoadAndIsNoFailure() {
        assertThat(answer(503, "Load", "2,4,2", "Not-Run", "1")).isEqualTo(ProbeResult.ANSWERED);
        assertThat(mServer.reportAgeNanos(now())).isZero();
        assertThat(mServer.isAvoided(now())).isFalse();
        assertThat(answer(500)).isEqualTo(ProbeResult.WITHOUT_LOAD);
        assertThat(
                        mFlow.placer()
                                .chooser()
                                .outlierDetector()
                                .evaluation(SERVICE, mServer.server().id(), now()))
                .isEmpty();
    }

    /** Guards against requests to a server that withdrew in its answer to a probe. */
    @Example
    void statementsCountLikeThoseOfAnyAnswer() {
        assertThat(mServers.obstacle(mServer, now())).isEmpty();
        answer(200, "Load", "1,0,2", "Limit", "2.5");
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.LIMITED);
        answer(503, "Load", "1,0,2", "Retry-After", "1");
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.PAUSED);
        passTime(Duration.ofSeconds(2));
        answer(200, "Load", "1,0,2", "Leaving", "1");
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.LEAVING);
    }

    /** Guards against statements of a former run that are applied to the next one. */
    @Example
    void answerAfterTheEndOfTheRunIsIgnored() {
        BackendServerId id = mServer.server().id();
        FleetSnapshot before = mFlow.state().snapshot();
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>(before.servers());
        servers.computeIfPresent(id, (same, server) -> server.withRun(server.run() + 1));
        update(new FleetSnapshot(2, before.routing(), servers, Set.of()));
        assertThat(mServer.isTerminated()).isTrue();
        answer(200, "Load", "2,9,2", "Leaving", "1");
        for (ServerLoad next : mFlow.servers().of(SERVICE)) {
            assertThat(next.reportAgeNanos(now())).isEqualTo(Long.MAX_VALUE);
            assertThat(mServers.obstacle(next, now())).isEmpty();
        }
        assertThat(mServer.reportAgeNanos(now())).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against probes that use up what a server grants to requests. */
    @Example
    void serversThatMustNotBeProbedHaveObstacles() {
        mColdServers = Set.of(mServer.server().id());
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.COLD);
        mColdServers = Set.of();
        mFlow.placer().unreachable(mServer, now());
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.AVOIDED);
        passTime(Duration.ofSeconds(2));
        for (int request = 1; request < mServers.maximumConnections(mServer); request++) {
            assertThat(mServers.obstacle(mServer, now())).isEmpty();
            mServer.requestStarted();
        }
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.CONNECTIONS_IN_USE);
        update(FakeSnapshot.of(true, 2, true, Set.of()));
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.LEAVING);
        update(FakeSnapshot.of(true, 2, false, Set.of(ZONE)));
        assertThat(mServers.obstacle(mServer, now())).contains(ProbeObstacle.EVACUATED);
    }

    private void update(FleetSnapshot snapshot) {
        mFlow.update(EntryState.of(snapshot, mFlow.state()));
    }

    private long now() {
        return mTime.monotonicNanos();
    }

    private ProbeResult answer(int status, String... headers) {
        HttpHeaders all = new DefaultHttpHeaders();
        for (int index = 0; index < headers.length; index += 2) {
            all.add(headers[index], headers[index + 1]);
        }
        return mServers.applyAnswer(mServer, status, all, now());
    }
}
