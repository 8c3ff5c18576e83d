package io.masticpond.entry.wiring;

import dagger.Module;
import dagger.Provides;
import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.capacity.CapacityGate;
import io.masticpond.core.capacity.DemandTotals;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.PriorityLoadGate;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.reachability.ForwardingTargets;
import io.masticpond.core.routing.ServiceSplit;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.ConnectionOptions;
import io.masticpond.entry.backend.NettyBackendConnections;
import io.masticpond.entry.backend.ProbeClient;
import io.masticpond.entry.forward.ForwardHeaders;
import io.masticpond.entry.forward.PeerRequests;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LoadChange;
import io.masticpond.entry.metrics.EntryMetrics;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.replica.ConditionalStore;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.ServerLimitGate;
import io.masticpond.entry.request.ServerRestarts;
import io.masticpond.entry.request.ServerStatements;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.request.WorkspaceAuthenticator;
import io.masticpond.entry.settings.EntrySettings;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import javax.inject.Singleton;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Dagger module of the request path: the limits, the selection of a server and the connections to
 * servers.
 */
@Module
final class TrafficModule {

    private static final long CONNECT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(4);
    private static final long MAXIMUM_ANSWER_BYTES = 64L << 20;

    private TrafficModule() {}

    @Provides
    static HeaderNames headerNames(PlatformAdapter platform) {
        return platform.headerNames();
    }

    @Provides
    @Singleton
    static SharedLimits limits(
            PeerInstance self, PeerView peers, EntrySettings settings, TimeSource timeSource) {
        return new SharedLimits(
                self.id(), peers, settings.bounds(), settings.zones(), timeSource.monotonicNanos());
    }

    @Provides
    @Singleton
    static ServiceSplit split(PeerInstance self) {
        return new ServiceSplit(HashMixer.hash(self.id().value()));
    }

    @Provides
    @Singleton
    static CapacityGate loadGate(
            PeerInstance self,
            EntrySettings settings,
            LoadControlActivation loadControl,
            DecisionLog log) {
        PriorityLoadGate wrapped =
                new PriorityLoadGate(
                        AdmissionLimitSettings.DEFAULT,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 1));
        CapacityGate gate =
                new CapacityGate(
                        wrapped,
                        loadControl,
                        settings.zone(),
                        settings.zones(),
                        AdmissionLimitSettings.DEFAULT,
                        RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 3));
        gate.setListener(view -> log.viewChanged(new LoadChange.Fullness(view)));
        return gate;
    }

    @Provides
    @Singleton
    static BodyBudget bodyBudget(EntrySettings settings, DecisionLog log) {
        int memoryMegabytes = settings.resources().memoryMegabytes();
        BodyBudget budget = new BodyBudget(BodyBudgetSettings.ofMemory(memoryMegabytes));
        budget.addListener(new BodyBudgetLog(log));
        return budget;
    }

    @Provides
    @Singleton
    static NettyBackendConnections connections(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            HeaderNames names,
            BodyBudget budget) {
        return new NettyBackendConnections(
                traffic, timeSource, connectionOptions(names, Optional.empty()), budget);
    }

    private static ConnectionOptions connectionOptions(
            HeaderNames names, Optional<String> localAddress) {
        return new ConnectionOptions(
                names.requestId(),
                names.notExecuted(),
                CONNECT_TIMEOUT_NANOS,
                IDLE_NANOS,
                MAXIMUM_ANSWER_BYTES,
                localAddress);
    }

    /**
     * Creates the sender of requests to other instances, which accept connections from the address
     * alone that this instance reports.
     */
    private static PeerRequests peerRequests(
            EventLoop traffic,
            TimeSource timeSource,
            HeaderNames names,
            BodyBudget budget,
            EntrySettings settings,
            UniformRandomProvider random) {
        String localAddress = settings.listeners().internal().ip();
        return new PeerRequests(
                new ForwardHeaders(names),
                new NettyBackendConnections(
                        traffic,
                        timeSource,
                        connectionOptions(names, Optional.of(localAddress)),
                        budget),
                new ForwardingTargets(
                        settings.zone(),
                        settings.region(),
                        settings.reachability().peerMemory(),
                        random::nextInt),
                timeSource);
    }

    @Provides
    @Singleton
    static LoadControlActivation loadControl(EntrySettings settings) {
        return new LoadControlActivation(settings.loadControl());
    }

    @Provides
    @Singleton
    static DemandTotals demandTotals(EntrySettings settings) {
        return new DemandTotals(settings.zone());
    }

    @Provides
    @Singleton
    static ServerChooser chooser(EntrySettings settings, LoadControlActivation loadControl) {
        return new ServerChooser(
                settings.placement(),
                new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT),
                loadControl);
    }

    @Provides
    @Singleton
    static WorkspaceAuthenticator authenticator(
            HeaderNames names, TimeSource timeSource, EntrySettings settings, PeerInstance self) {
        return new WorkspaceAuthenticator(
                names,
                timeSource,
                settings.workspaces(),
                new SharedRates(settings.workspaces().rates()),
                RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 2)::nextDouble);
    }

    @Provides
    @Singleton
    static ServerLimitGate serverLimits(
            EntrySettings settings,
            PeerInstance self,
            SharedLimits limits,
            PeerView peers,
            TimeSource timeSource,
            DecisionLog log) {
        return new ServerLimitGate(
                settings.serverLimits(),
                new OwnerCandidate(self.id(), self.zone()),
                settings.zones(),
                limits::candidates,
                peers::shareholders,
                timeSource,
                log);
    }

    @Provides
    @Singleton
    static ServerStatements statements(
            HeaderNames names,
            ServerLimitGate limits,
            EntrySettings settings,
            TimeSource timeSource,
            DecisionLog log) {
        return new ServerStatements(names, limits, settings.withdrawals(), timeSource, log);
    }

    @Provides
    @Singleton
    static ServerRestarts serverRestarts(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            RequestFlow flow,
            NettyBackendConnections connections,
            PeerInstance self,
            DecisionLog log) {
        String idPrefix = "restart-" + self.id().value() + "-" + self.incarnation() + "-";
        return new ServerRestarts(
                traffic,
                timeSource,
                flow,
                new ProbeClient(connections, traffic, timeSource, idPrefix),
                log,
                RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 6));
    }

    @Provides
    @Singleton
    static RequestFlow flow(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            HeaderNames names,
            NettyBackendConnections connections,
            EntrySettings settings,
            ServerChooser chooser,
            SharedLimits limits,
            CapacityGate loadGate,
            ServiceSplit split,
            PeerView peers,
            PlatformAdapter platform,
            PeerInstance self,
            EntryMetrics metrics,
            WorkspaceAuthenticator authenticator,
            ServerStatements statements,
            BodyBudget budget,
            @ControlThread EventLoop control,
            DecisionLog log) {
        Optional<SpendingCheck> spending = Optional.empty();
        if (settings.spending().isPresent()) {
            ConditionalStore store = metrics.counting(platform.ledgerStore(control, settings));
            spending =
                    Optional.of(
                            SpendingWiring.createService(
                                    settings, store, self, peers, traffic, control, timeSource));
        }
        RequestFlow flow =
                new RequestFlow(
                        traffic,
                        timeSource,
                        names,
                        connections,
                        new ServerTable(settings.zone(), settings.zones()),
                        new RequestPlacer(chooser, loadGate),
                        limits,
                        limits,
                        route -> split.choose(route).orElse(route.services().get(0).service()),
                        peers::shareholders,
                        spending,
                        authenticator,
                        statements,
                        log);
        flow.crashGuard().applySettings(settings.crashes());
        if (settings.listeners().forward().isPresent()) {
            UniformRandomProvider random =
                    RandomSource.XO_RO_SHI_RO_128_PP.create(self.incarnation() + 5);
            flow.forwarding()
                    .setPeers(
                            peerRequests(traffic, timeSource, names, budget, settings, random),
                            random::nextDouble);
        }
        flow.forwarding().applySettings(settings.reachability());
        return flow;
    }
}
