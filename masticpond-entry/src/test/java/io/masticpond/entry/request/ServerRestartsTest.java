package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.CallFailure;
import io.masticpond.entry.backend.ProbeClient;
import io.masticpond.entry.backend.ServerReachability;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Guards against requests at full rate to a server that started again under its id and is cold, and
 * against a warm server that loses its share because a connection failed.
 */
class ServerRestartsTest extends AbstractRequestFlowTest {

    private static final Duration CHECK_DELAY = Duration.ofMillis(20);

    /** Longer than the first delay and shorter than the shortest second one. */
    private static final Duration PROBE_DELAY = Duration.ofMillis(300);

    private final RequestFlow mFlow = flow(false, 1);
    private ServerLoad mServer;

    @Example
    void serverThatBreaksOffRequestAndRefusesIsCold() {
        start();
        send(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        check(ServerReachability.REFUSED);
        assertThat(isCold()).isTrue();
    }

    @Example
    void serverThatRefusesConnectionsIsCold() {
        start();
        send(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
        check(ServerReachability.REFUSED);
        assertThat(isCold()).isTrue();
    }

    /** An instance without a request in flight sees the end by its idle connections alone. */
    @Example
    void serverThatResetAnIdleConnectionAndRefusesIsCold() {
        start();
        send(Verdict.DID_NOT_RUN, CallFailure.Kind.NO_CONNECTION_FREE);
        mConnections.mIdleResetListener.accept(mServer.server());
        check(ServerReachability.REFUSED);
        assertThat(isCold()).isTrue();
    }

    @Example
    void serverThatAcceptsConnectionsAgainKeepsItsShare() {
        start();
        send(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
        check(ServerReachability.OPEN);
        assertThat(isCold()).isFalse();
    }

    @Example
    void connectionsThatAreCutEverywhereAreNotCheckedOneByOne() {
        start();
        for (ServerLoad load : mFlow.servers().of(SERVICE)) {
            for (int copy = 0; copy < 10; copy++) {
                BackendServerId id = new BackendServerId(load.server().id().value() + copy);
                mConnections.mIdleResetListener.accept(
                        new RegisteredServer(
                                id, SERVICE, load.server().address(), ZONE, 1, false, 0));
            }
        }
        passTime(CHECK_DELAY);
        assertThat(mConnections.mChecks).hasSizeLessThanOrEqualTo(4);
    }

    @Example
    void healthCheckOfTheNewRunStatesHowLongItIsCold() {
        start();
        end();
        passTime(PROBE_DELAY);
        mConnections.last().answer(200, "Cold", "400");
        assertThat(isCold()).isTrue();
        passTime(Duration.ofMillis(400));
        assertThat(isCold()).isFalse();
    }

    @Example
    void warmServerGetsItsShareAtTheFirstAnswer() {
        start();
        end();
        passTime(PROBE_DELAY);
        mConnections.last().answer(200, "Cold", "0");
        assertThat(isCold()).isFalse();
        int calls = mConnections.mCalls.size();
        passTime(Duration.ofSeconds(10));
        assertThat(mConnections.mCalls).as("no further health checks").hasSize(calls);
    }

    /** A server that starts late is cold from then on, not from its end on. */
    @Example
    void serverIsColdForAsLongAsItRefuses() {
        start();
        end();
        for (int probe = 0; probe < 20; probe++) {
            passTime(Duration.ofSeconds(1));
            mConnections.last().fail(Verdict.DID_NOT_RUN, CallFailure.Kind.NOT_CONNECTED);
            assertThat(isCold()).isTrue();
        }
        passTime(Duration.ofSeconds(1));
        mConnections.last().answer(200, "Cold", "1e9");
        assertThat(isCold()).as("a value that is no number states nothing").isTrue();
    }

    @Example
    void newRegistrationEndsTheHealthChecks() {
        start();
        end();
        int calls = mConnections.mCalls.size();
        FleetSnapshot before = mFlow.state().snapshot();
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>(before.servers());
        servers.replaceAll((id, server) -> server.withRun(server.run() + 1));
        mFlow.update(
                EntryState.of(
                        new FleetSnapshot(2, before.routing(), servers, Set.of()), mFlow.state()));
        passTime(Duration.ofSeconds(5));
        assertThat(mConnections.mCalls).hasSize(calls);
        assertThat(mFlow.servers().of(SERVICE)).noneMatch(load -> load.server().isCold(now()));
    }

    private void start() {
        ProbeClient client = new ProbeClient(mConnections, mChannel.eventLoop(), mTime, "probe-");
        new ServerRestarts(
                        mChannel.eventLoop(),
                        mTime,
                        mFlow,
                        client,
                        mDecisions,
                        RandomSource.SPLIT_MIX_64.create(1))
                .start();
        mChannel.runPendingTasks();
    }

    /** Sends a request whose attempt fails. */
    private void send(Verdict verdict, CallFailure.Kind kind) {
        handle(mFlow);
        RegisteredServer server = mConnections.last().mServer;
        mServer =
                mFlow.servers().of(SERVICE).stream()
                        .filter(load -> load.server().isSameRun(server))
                        .findFirst()
                        .orElseThrow();
        mConnections.last().fail(verdict, kind);
    }

    private void check(ServerReachability reachability) {
        passTime(CHECK_DELAY);
        FakeConnections.Check check =
                mConnections.mChecks.stream()
                        .filter(each -> each.server().isSameRun(mServer.server()))
                        .findFirst()
                        .orElseThrow();
        check.listener().accept(reachability);
    }

    private void end() {
        send(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        check(ServerReachability.REFUSED);
    }

    private boolean isCold() {
        return mServer.server().isCold(now());
    }

    private long now() {
        return mTime.monotonicNanos();
    }
}
