package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.reachability.ForwardingPeer;
import io.masticpond.core.reachability.ForwardingTargets;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilitySettings;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.entry.forward.ForwardHeaders;
import io.masticpond.entry.forward.PeerRequests;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/** Base class for tests of requests that one instance forwards to another. */
abstract class AbstractForwardFlowTest extends AbstractRequestFlowTest {

    private static final RegionId REGION = new RegionId("r");

    final FakeConnections mPeerConnections = new FakeConnections();
    final ForwardHeaders mHeaders = new ForwardHeaders(NAMES);

    /** Returns a flow that knows other instances in its zone. */
    RequestFlow flowWithPeers(boolean idempotent, int peers) {
        RequestFlow flow = flow(idempotent, 2);
        PeerRequests requests =
                new PeerRequests(
                        mHeaders,
                        mPeerConnections,
                        new ForwardingTargets(
                                ZONE,
                                REGION,
                                ReachabilitySettings.DEFAULT.peerMemory(),
                                bound -> 0),
                        mTime);
        flow.forwarding().setPeers(requests, () -> 0.5);
        Map<ForwardingPeer, ServerAddress> known = new HashMap<>();
        for (int number = 0; number < peers; number++) {
            known.put(
                    new ForwardingPeer(new InstanceId("peer-" + number), ZONE, REGION),
                    new ServerAddress("127.0.0.1", 2_000 + number));
        }
        requests.update(known);
        return flow;
    }

    void loseServers(RequestFlow flow) {
        ReachabilityMonitor monitor = flow.forwarding().monitor();
        long now = mTime.monotonicNanos();
        monitor.recordFailed(SERVICE, new BackendServerId("server-0"), now);
        monitor.recordFailed(SERVICE, new BackendServerId("server-1"), now);
        while (monitor.dueProbes(SERVICE, now) > 0) {
            monitor.probeStarted(SERVICE, now);
        }
        for (int probe = 0; probe < ReachabilitySettings.DEFAULT.probes(); probe++) {
            monitor.probeEnded(SERVICE, false, now);
        }
        assertThat(monitor.state(SERVICE)).isEqualTo(ReachabilityState.UNREACHABLE);
    }

    RequestFlow flowWithoutServers(boolean idempotent, int peers) {
        RequestFlow flow = flowWithPeers(idempotent, peers);
        loseServers(flow);
        return flow;
    }

    FakeConnections.Call lastForwarded() {
        return mPeerConnections.last();
    }

    /** Has probes answered until all requests are sent to servers again. */
    void reachServersAgain(RequestFlow flow) {
        ReachabilityMonitor monitor = flow.forwarding().monitor();
        while (monitor.state(SERVICE) == ReachabilityState.UNREACHABLE) {
            long now = mTime.monotonicNanos();
            monitor.probeStarted(SERVICE, now);
            monitor.probeEnded(SERVICE, true, now);
            passTime(ReachabilitySettings.DEFAULT.probeInterval());
        }
        passTime(ReachabilitySettings.DEFAULT.ramp().plus(Duration.ofMillis(1)));
        assertThat(monitor.state(SERVICE)).isEqualTo(ReachabilityState.REACHABLE);
    }
}
