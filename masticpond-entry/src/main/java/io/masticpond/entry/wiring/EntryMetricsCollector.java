package io.masticpond.entry.wiring;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.core.capacity.CapacityGate;
import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.crash.CrashView;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.StoreRevision;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.statement.WithdrawalView;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.workspace.WorkspaceTable;
import io.masticpond.entry.backend.ConnectionCounts;
import io.masticpond.entry.backend.NettyBackendConnections;
import io.masticpond.entry.control.ServiceSpeedView;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.metrics.EntryValue;
import io.masticpond.entry.metrics.EntryValues;
import io.masticpond.entry.metrics.ServiceValue;
import io.masticpond.entry.peer.PeerMember;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.CategoryStatus;
import io.masticpond.entry.replica.ReplicaStatus;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.RequestForwarding;
import io.masticpond.entry.request.ServerLimitGate;
import io.masticpond.entry.request.ServerStatements;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.request.WorkspaceAuthenticator;
import java.time.Instant;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.function.ToLongFunction;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Collector of the metric values of all parts of an instance. */
@Singleton
final class EntryMetricsCollector {

    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final TimeSource mTimeSource;
    private final ControlComponents mControl;
    private final RequestFlow mFlow;
    private final SharedLimits mLimits;
    private final ConnectionCounts mConnections;
    private final CapacityGate mGate;
    private final ServerSpeedViews mSpeeds;
    private final EntryListeners mListeners;
    private final RegionBalancing mRegions;
    private final BodyBudget mBodies;
    private volatile Traffic mTraffic =
            new Traffic(
                    0,
                    ConnectionMetrics.NONE,
                    0,
                    0,
                    0,
                    0,
                    0,
                    List.of(),
                    Optional.empty(),
                    Keys.NONE,
                    Limits.NONE,
                    Withdrawals.NONE,
                    Forwarding.NONE,
                    Map.of(),
                    Bodies.NONE,
                    ServiceLoads.NONE);

    /** The metrics of the workspaces' keys. */
    private record Keys(int workspaces, int keys, long proofAgeNanos, boolean isProven) {

        static final Keys NONE = new Keys(0, 0, RequestRecord.UNKNOWN, false);

        static Keys of(WorkspaceAuthenticator authenticator) {
            return new Keys(
                    authenticator.workspaces().map(table -> table.all().size()).orElse(0),
                    authenticator.workspaces().map(WorkspaceTable::keyCount).orElse(0),
                    authenticator.proofAgeNanos(),
                    authenticator.isProven());
        }
    }

    /** The metrics of the limits that backend servers state. */
    private record Limits(long servers, double ownPerSecond, long malformed) {

        static final Limits NONE = new Limits(0, 0, 0);

        static Limits of(ServerLimitGate gate) {
            List<LimitView> views = gate.views();
            return new Limits(
                    views.stream().filter(LimitView::isLimited).count(),
                    views.stream().mapToDouble(LimitView::ownPerSecond).sum(),
                    gate.malformed());
        }
    }

    /** The metrics of the withdrawals and loads that backend servers state. */
    private record Withdrawals(long leaving, long paused, long malformed, long malformedLoads) {

        static final Withdrawals NONE = new Withdrawals(0, 0, 0, 0);

        static Withdrawals of(ServerStatements statements) {
            List<WithdrawalView> views = statements.withdrawals();
            long paused =
                    views.stream()
                            .filter(each -> each.state() == WithdrawalView.State.PAUSED)
                            .count();
            return new Withdrawals(
                    views.size() - paused,
                    paused,
                    statements.malformed(),
                    statements.malformedLoads());
        }
    }

    /** The metrics of the services that are not reached and of the forwarded requests. */
    private record Forwarding(
            long unreachable, long suspicions, long losses, long forwarded, long accepted) {

        static final Forwarding NONE = new Forwarding(0, 0, 0, 0, 0);

        static Forwarding of(RequestForwarding forwarding) {
            return new Forwarding(
                    forwarding.monitor().views().stream()
                            .filter(each -> each.state() == ReachabilityState.UNREACHABLE)
                            .count(),
                    forwarding.monitor().suspicions(),
                    forwarding.monitor().losses(),
                    forwarding.forwarded(),
                    forwarding.accepted());
        }

        void set(EntryValues values) {
            values.set(EntryValue.UNREACHABLE_SERVICES, unreachable);
            values.set(EntryValue.REACHABILITY_SUSPICIONS, suspicions);
            values.set(EntryValue.REACHABILITY_LOSSES, losses);
            values.set(EntryValue.FORWARDED_REQUESTS, forwarded);
            values.set(EntryValue.ACCEPTED_REQUESTS, accepted);
        }
    }

    /** The metrics of the body budget. */
    private record Bodies(long requestBytes, long responseBytes, long refusals) {

        static final Bodies NONE = new Bodies(0, 0, 0);

        static Bodies of(BodyBudget budget) {
            return new Bodies(
                    budget.held(BodyDirection.REQUESTS),
                    budget.held(BodyDirection.RESPONSES),
                    budget.refusals());
        }
    }

    /** The metrics of the load of services. */
    private record ServiceLoads(
            List<ServiceLoadView> views,
            List<ServiceSpeedView> speeds,
            Map<ServiceId, Long> refusals) {

        static final ServiceLoads NONE = new ServiceLoads(List.of(), List.of(), Map.of());

        void set(EntryValues values) {
            for (ServiceLoadView view : views) {
                values.set(ServiceValue.FULLNESS, view.service(), view.fullness());
                values.set(ServiceValue.CAPACITY, view.service(), view.capacityPerSecond());
            }
            for (ServiceSpeedView speed : speeds) {
                values.set(ServiceValue.SLOW_SERVERS, speed.service(), speed.slowServers().size());
            }
            refusals.forEach(
                    (service, count) -> values.set(ServiceValue.SHARE_REFUSALS, service, count));
        }
    }

    /** The metrics of the traffic thread. */
    private record Traffic(
            int open,
            ConnectionMetrics connections,
            long loadsReported,
            long loadsReceived,
            long serverEnds,
            int followed,
            long rejected,
            List<RetryBudgetUsage> retries,
            Optional<List<SpendingView>> spendings,
            Keys keys,
            Limits limits,
            Withdrawals withdrawals,
            Forwarding forwarding,
            Map<ServiceId, Map<RegionId, Double>> regionWeights,
            Bodies bodies,
            ServiceLoads loads) {

        double sum(ToDoubleFunction<RetryBudgetUsage> value) {
            return retries.stream().mapToDouble(value).sum();
        }
    }

    @Inject
    EntryMetricsCollector(
            TimeSource timeSource,
            ControlComponents control,
            RequestFlow flow,
            SharedLimits limits,
            NettyBackendConnections connections,
            CapacityGate gate,
            EntryListeners listeners,
            RegionBalancing regions,
            BodyBudget bodies) {
        mTimeSource = timeSource;
        mControl = control;
        mFlow = flow;
        mLimits = limits;
        mConnections = connections.counts();
        mGate = gate;
        mSpeeds = new ServerSpeedViews(flow.servers(), flow.placer().chooser().speeds());
        mListeners = listeners;
        mRegions = regions;
        mBodies = bodies;
    }

    /** Reads what the traffic thread owns, on that thread. */
    void readTraffic() {
        List<CrashView> crashes = mFlow.crashGuard().views();
        mTraffic =
                new Traffic(
                        mFlow.openRequests(),
                        ConnectionMetrics.of(mConnections),
                        mFlow.placer().sharedLoads().reportedCount(),
                        mFlow.placer().sharedLoads().receivedCount(),
                        mFlow.crashGuard().serverEnds(),
                        crashes.size(),
                        crashes.stream().filter(each -> each.remainingNanos() > 0).count(),
                        List.copyOf(mLimits.budgets(mTimeSource.monotonicNanos()).values()),
                        mFlow.spending().map(SpendingCheck::views),
                        Keys.of(mFlow.authenticator()),
                        Limits.of(mFlow.statements().limits()),
                        Withdrawals.of(mFlow.statements()),
                        Forwarding.of(mFlow.forwarding()),
                        mRegions.factors(),
                        Bodies.of(mBodies),
                        new ServiceLoads(
                                mGate.views(mTimeSource.monotonicNanos()),
                                mSpeeds.views(mTimeSource.monotonicNanos()),
                                mGate.shareRefusals()));
    }

    /** Sets all metric values. Must be called on the control thread. */
    void set(EntryValues values) {
        setTraffic(values);
        setFleet(values, mControl.replica().snapshot());
        setReplica(values, mControl.replica().status());
        long revision = mControl.replica().revision();
        values.set(EntryValue.REGISTRY_REVISION, StoreRevision.revision(revision));
        values.set(EntryValue.STORE_ERA, StoreRevision.era(revision));
        values.set(EntryValue.INSTANCES_ALIVE, mControl.heartbeats().alive().size());
        values.set(EntryValue.SHAREHOLDERS, mControl.heartbeats().shareholders());
        values.set(EntryValue.PEERS_AGE, peersAge());
        values.set(EntryValue.HEARTBEATS_SENT, mControl.heartbeats().sentCount());
        values.set(EntryValue.HEARTBEATS_RECEIVED, mControl.heartbeats().receivedCount());
    }

    private double peersAge() {
        return mControl.heartbeats().members().stream()
                        .filter(member -> member.state() != PeerMember.State.GONE)
                        .mapToLong(PeerMember::inactiveMillis)
                        .max()
                        .orElse(0)
                / MILLIS_PER_SECOND;
    }

    private void setTraffic(EntryValues values) {
        Traffic traffic = mTraffic;
        traffic.regionWeights()
                .forEach(
                        (service, regions) ->
                                regions.forEach(
                                        (region, weight) ->
                                                values.setRegionWeight(service, region, weight)));
        values.set(EntryValue.OPEN_REQUESTS, traffic.open());
        values.set(EntryValue.CLIENT_CONNECTIONS, mListeners.entry().openConnections());
        traffic.connections().set(values);
        values.set(EntryValue.LOADS_REPORTED, traffic.loadsReported());
        values.set(EntryValue.LOADS_RECEIVED, traffic.loadsReceived());
        values.set(EntryValue.SERVER_ENDS, traffic.serverEnds());
        values.set(EntryValue.FOLLOWED_REQUESTS, traffic.followed());
        values.set(EntryValue.LIMITED_SERVERS, traffic.limits().servers());
        values.set(EntryValue.LIMITED_RATE, traffic.limits().ownPerSecond());
        values.set(EntryValue.MALFORMED_LIMITS, traffic.limits().malformed());
        values.set(EntryValue.SERVERS_STATED_LEAVING, traffic.withdrawals().leaving());
        values.set(EntryValue.PAUSED_SERVERS, traffic.withdrawals().paused());
        values.set(EntryValue.MALFORMED_WITHDRAWALS, traffic.withdrawals().malformed());
        values.set(EntryValue.MALFORMED_LOAD_HEADERS, traffic.withdrawals().malformedLoads());
        values.set(EntryValue.HELD_REQUEST_BYTES, traffic.bodies().requestBytes());
        values.set(EntryValue.HELD_RESPONSE_BYTES, traffic.bodies().responseBytes());
        values.set(EntryValue.BODY_REFUSALS, traffic.bodies().refusals());
        values.set(EntryValue.REJECTED_REQUESTS, traffic.rejected());
        values.set(EntryValue.RETRY_BUDGET, traffic.sum(RetryBudgetUsage::left));
        values.set(EntryValue.RETRY_BUDGET_BOUND, traffic.sum(RetryBudgetUsage::bound));
        values.set(EntryValue.RETRY_BUDGET_USED, traffic.sum(RetryBudgetUsage::used));
        setKeys(values, traffic.keys());
        traffic.loads().set(values);
        traffic.forwarding().set(values);
        traffic.spendings().ifPresent(spendings -> setSpending(values, spendings));
    }

    private static void setKeys(EntryValues values, Keys keys) {
        values.set(EntryValue.WORKSPACES, keys.workspaces());
        values.set(EntryValue.WORKSPACE_KEYS, keys.keys());
        values.set(EntryValue.KEYS_PROVEN, keys.isProven() ? 1 : 0);
        if (keys.proofAgeNanos() != RequestRecord.UNKNOWN) {
            values.set(EntryValue.PROOF_AGE, keys.proofAgeNanos() / NANOS_PER_SECOND);
        }
    }

    /** Sets the sums over the shifts that are running. */
    private void setSpending(EntryValues values, List<SpendingView> spendings) {
        Instant now = mTimeSource.instant();
        List<SpendingView> running =
                spendings.stream().filter(view -> view.shift().contains(now)).toList();
        set(values, EntryValue.SPENDING_CAP, running, SpendingView::capMicros);
        set(values, EntryValue.SPENDING_ALLOTTED, running, SpendingView::allottedMicros);
        set(values, EntryValue.SPENDING_HELD, running, SpendingView::availableMicros);
        set(values, EntryValue.SPENDING_SPENT, running, SpendingView::spentMicros);
    }

    private static void set(
            EntryValues values,
            EntryValue value,
            List<SpendingView> running,
            ToLongFunction<SpendingView> micros) {
        values.set(value, running.stream().mapToLong(micros).sum());
    }

    private void setFleet(EntryValues values, FleetSnapshot snapshot) {
        long now = mTimeSource.monotonicNanos();
        Collection<RegisteredServer> servers = snapshot.servers().values();
        snapshot.routing()
                .map(RoutingConfiguration::version)
                .ifPresent(version -> values.set(EntryValue.ROUTING_VERSION, version));
        values.set(
                EntryValue.UNREADABLE_PARTS,
                snapshot.routing()
                        .map(routing -> routing.unreadable().problems().size())
                        .orElse(0));
        values.set(EntryValue.SERVERS, servers.size());
        values.set(EntryValue.LEAVING_SERVERS, count(servers, RegisteredServer::leaving));
        values.set(EntryValue.COLD_SERVERS, count(servers, server -> server.isCold(now)));
        values.set(EntryValue.EVACUATED_ZONES, snapshot.evacuatedZones().size());
    }

    private static long count(
            Collection<RegisteredServer> servers, Predicate<RegisteredServer> predicate) {
        return servers.stream().filter(predicate).count();
    }

    private static void setReplica(EntryValues values, ReplicaStatus status) {
        values.set(EntryValue.STORE_LOST, status.storeLost() ? 1 : 0);
        values.set(EntryValue.UNCONFIRMED_SERVERS, status.unconfirmedServers());
        values.set(EntryValue.UNREADABLE_ENTRIES, status.unreadableEntries());
        values.set(EntryValue.UNREADABLE_SEEN, status.unreadableSeen());
        values.set(EntryValue.STORE_CALLS_GIVEN_UP, status.callsGivenUp());
        for (CategoryStatus category : status.categories()) {
            double age = category.age().toMillis() / MILLIS_PER_SECOND;
            double proofAge = category.proofAge().toMillis() / MILLIS_PER_SECOND;
            if (category.category() == Category.ROUTING) {
                values.set(EntryValue.ROUTING_AGE, age);
                values.set(EntryValue.ROUTING_PROOF_AGE, proofAge);
            } else if (category.category() == Category.BACKEND_SERVERS) {
                values.set(EntryValue.REGISTRY_AGE, age);
                values.set(EntryValue.REGISTRY_PROOF_AGE, proofAge);
            } else if (category.category() == Category.EVACUATIONS) {
                values.set(EntryValue.EVACUATIONS_PROOF_AGE, proofAge);
            }
        }
    }
}
