package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.probe.ProbeObstacle;
import io.masticpond.core.probe.ProbeResult;
import io.masticpond.core.reachability.ForwardingPeer;
import io.masticpond.core.reachability.ReachabilityListener;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.reachability.ReachabilityView;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.NettyBackendConnections;
import io.masticpond.entry.backend.ProbeAnswer;
import io.masticpond.entry.backend.ProbeClient;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ReachabilityChange;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.request.ProbedServers;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Driver of the detection of unreachable services: sends the probes that it asks for, and applies
 * its results to the request path.
 */
@Singleton
final class Reachability {

    /** Period in which the known instances are updated while all services are reachable. */
    private static final long PEERS_PERIOD_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final EventLoop mTraffic;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final ReachabilityMonitor mMonitor;
    private final PeerView mPeers;
    private final InstanceId mSelf;
    private final Optional<ServerAddress> mForwardAddress;
    private final DecisionLog mLog;
    private final ProbedServers mServers;
    private final ProbeClient mClient;
    private final Map<ServiceId, BackendServerId> mAnsweredProbes = new HashMap<>();
    private final UniformRandomProvider mRandom;
    private long mPeersUpdatedNanos;

    @Inject
    Reachability(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            RequestFlow flow,
            NettyBackendConnections connections,
            PeerView peers,
            PeerInstance self,
            EntrySettings settings,
            DecisionLog log) {
        mTraffic = traffic;
        mTimeSource = timeSource;
        mFlow = flow;
        mMonitor = flow.forwarding().monitor();
        mPeers = peers;
        mSelf = self.id();
        mForwardAddress = settings.listeners().forward();
        mLog = log;
        mServers = new ProbedServers(flow, service -> 0);
        mClient =
                new ProbeClient(
                        connections,
                        traffic,
                        timeSource,
                        "reach-" + self.id().value() + "-" + self.incarnation() + "-");
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 4);
    }

    /** Starts the detection. */
    void start() {
        mTraffic.execute(
                () -> {
                    mMonitor.setListener(new Changes());
                    mTraffic.scheduleWithFixedDelay(
                            this::evaluate,
                            ReachabilityMonitor.EVALUATION_NANOS,
                            ReachabilityMonitor.EVALUATION_NANOS,
                            TimeUnit.NANOSECONDS);
                });
    }

    private void evaluate() {
        long now = mTimeSource.monotonicNanos();
        mMonitor.evaluate(now);
        boolean isAnyInDoubt = mMonitor.isAnyInDoubt(now);
        if (isAnyInDoubt || now - mPeersUpdatedNanos >= PEERS_PERIOD_NANOS) {
            mPeersUpdatedNanos = now;
            updatePeers();
        }
        if (isAnyInDoubt) {
            mMonitor.servicesToProbe(now).forEach(service -> probe(service, now));
        }
    }

    /**
     * Probes a service without waiting for the next evaluation, as requests may fail until then.
     */
    private void probeSuspected(ServiceId service) {
        long now = mTimeSource.monotonicNanos();
        if (mMonitor.dueProbes(service, now) > 0) {
            updatePeers();
            probe(service, now);
        }
    }

    private void updatePeers() {
        if (mForwardAddress.isEmpty()) {
            return;
        }
        int port = mForwardAddress.get().port();
        Set<InstanceId> suspects = mPeers.suspects();
        Map<ForwardingPeer, ServerAddress> peers = new HashMap<>();
        for (PeerInstance each : mPeers.alive()) {
            if (each.ready() && !each.id().equals(mSelf) && !suspects.contains(each.id())) {
                peers.put(
                        new ForwardingPeer(each.id(), each.zone(), each.region()),
                        new ServerAddress(each.internal().ip(), port));
            }
        }
        mFlow.forwarding().peers().ifPresent(requests -> requests.update(peers));
    }

    private void probe(ServiceId service, long now) {
        List<ServerLoad> servers = probeable(service, now);
        for (ServerLoad each : servers) {
            if (mMonitor.dueProbes(service, now) == 0) {
                return;
            }
            Optional<String> path = mServers.healthPath(each);
            if (path.isPresent() && mServers.tryPermit(each, now)) {
                mMonitor.probeStarted(service, now);
                mClient.sendOnNewConnection(
                        each.server(), path.get(), end -> probeEnded(each, end));
            }
        }
        if (servers.isEmpty() || mMonitor.state(service) == ReachabilityState.SUSPECTED) {
            mMonitor.endProbing(service, now);
        }
    }

    /**
     * Returns the servers that may be probed: the one that is most likely to answer, then those
     * from a random one on, but one of each zone first.
     */
    private List<ServerLoad> probeable(ServiceId service, long now) {
        List<ServerLoad> servers = new ArrayList<>();
        for (ServerLoad each : mFlow.servers().of(service)) {
            if (mServers.obstacle(each, now).filter(ProbeObstacle::isBinding).isEmpty()) {
                servers.add(each);
            }
        }
        if (servers.isEmpty()) {
            return servers;
        }
        Collections.rotate(servers, mRandom.nextInt(servers.size()));
        List<ServerLoad> ordered = new ArrayList<>();
        likelyServer(service, servers, now).ifPresent(ordered::add);
        servers.removeAll(ordered);
        Set<ZoneId> zones = new HashSet<>();
        for (ServerLoad each : servers) {
            if (zones.add(each.server().zone())) {
                ordered.add(each);
            }
        }
        servers.removeAll(ordered);
        ordered.addAll(servers);
        return ordered;
    }

    /**
     * Returns the server that answered last: any request while the service is suspected, and a
     * probe while it is unreachable.
     */
    private Optional<ServerLoad> likelyServer(
            ServiceId service, List<ServerLoad> servers, long now) {
        if (mMonitor.state(service) == ReachabilityState.UNREACHABLE) {
            BackendServerId answered = mAnsweredProbes.get(service);
            return servers.stream().filter(each -> each.server().id().equals(answered)).findFirst();
        }
        return servers.stream()
                .filter(each -> each.answeredAgoNanos(now) != Long.MAX_VALUE)
                .min(Comparator.comparingLong(each -> each.answeredAgoNanos(now)));
    }

    private void probeEnded(ServerLoad server, Either<ProbeResult, ProbeAnswer> end) {
        long now = mTimeSource.monotonicNanos();
        end.peek(
                answer ->
                        mServers.applyAnswer(
                                server, answer.status(), answer.headers(), answer.sentNanos()));
        if (end.isRight()) {
            mAnsweredProbes.put(server.server().service(), server.server().id());
        } else {
            mAnsweredProbes.remove(server.server().service(), server.server().id());
        }
        mMonitor.probeEnded(server.server().service(), end.isRight(), now);
    }

    /** Listener that logs the changes and applies them to the request path. */
    private final class Changes implements ReachabilityListener {

        @Override
        public void onChanged(ReachabilityView view, long formerNanos) {
            log(view, formerNanos);
            mFlow.placer().discardFailures(mFlow.servers().of(view.service()));
            if (view.state() == ReachabilityState.UNREACHABLE) {
                updatePeers();
                mFlow.forwardPending(view);
            }
        }

        @Override
        public void onSuspicionChanged(ReachabilityView view, long formerNanos) {
            log(view, formerNanos);
            if (view.state() == ReachabilityState.SUSPECTED) {
                mTraffic.execute(() -> probeSuspected(view.service()));
            }
        }

        private void log(ReachabilityView view, long formerNanos) {
            long formerMillis = TimeUnit.NANOSECONDS.toMillis(formerNanos);
            mLog.viewChanged(new ReachabilityChange(view, formerMillis));
        }
    }
}
