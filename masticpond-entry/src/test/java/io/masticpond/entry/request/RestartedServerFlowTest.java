package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.request.Verdict;
import io.masticpond.entry.backend.CallFailure;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests of a backend server that restarts under its id while its former run still has requests. */
class RestartedServerFlowTest extends AbstractRequestFlowTest {

    @Example
    void doesNotRetryOnceOnlyRequestOfFormerRun() {
        RequestFlow flow = flow(false, 2);
        handle(flow);
        restart(flow, mConnections.last().mServer.id());
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(mResponder.status()).isEqualTo(502);
    }

    @Example
    void doesNotAttributeFailuresOfFormerRunToRestartedServer() {
        RequestFlow flow = flow(false, 2);
        handle(flow);
        BackendServerId id = mConnections.last().mServer.id();
        ServerLoad former = load(flow, id);
        restart(flow, id);
        ServerLoad later = load(flow, id);
        assertThat(later).isNotSameAs(former);
        assertThat(later.ownInFlight()).isZero();
        mConnections.last().fail(Verdict.MAY_HAVE_RUN, CallFailure.Kind.BROKEN_OFF);
        assertThat(former.ownInFlight()).isZero();
        assertThat(later.ownInFlight()).isZero();
        long now = mTime.monotonicNanos();
        assertThat(flow.placer().chooser().outlierDetector().evaluation(SERVICE, id, now))
                .isEmpty();
        assertThat(mConnections.mRemoved)
                .extracting(RegisteredServer::run)
                .as("the connections that lead to the former run")
                .containsExactly(0);
    }

    private static ServerLoad load(RequestFlow flow, BackendServerId id) {
        return flow.servers().of(SERVICE).stream()
                .filter(load -> load.server().id().equals(id))
                .findFirst()
                .orElseThrow();
    }

    private static void restart(RequestFlow flow, BackendServerId id) {
        FleetSnapshot before = flow.state().snapshot();
        Map<BackendServerId, RegisteredServer> servers = new HashMap<>(before.servers());
        servers.computeIfPresent(id, (same, server) -> server.withRun(server.run() + 1));
        flow.update(
                EntryState.of(
                        new FleetSnapshot(2, before.routing(), servers, Set.of()), flow.state()));
    }
}
