package io.masticpond.entry.control;

import io.masticpond.core.crash.CrashView;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.spending.SpendingView;
import io.masticpond.core.statement.WithdrawalView;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.SpendingCheck;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Immutable snapshot of the state of the traffic thread.
 *
 * @param takenNanos the monotonic time at which the snapshot was taken
 * @param servers the backend servers, ordered by service and id
 * @param budgets the retry budgets
 * @param spendings the spending in each open shift
 * @param crashes the view of the requests during which backend servers terminated
 * @param workspaces the view of the workspaces
 * @param loads the load of each configured service, ordered by name
 */
record TrafficSnapshot(
        long takenNanos,
        List<ServerSnapshot> servers,
        Map<ServiceId, RetryBudgetUsage> budgets,
        List<SpendingView> spendings,
        List<CrashView> crashes,
        WorkspaceSnapshot workspaces,
        List<ServiceLoadSnapshot> loads) {

    private static final Comparator<ServerSnapshot> ORDER =
            Comparator.<ServerSnapshot, String>comparing(each -> each.server().service().value())
                    .thenComparing(each -> each.server().id().value());

    TrafficSnapshot {
        servers = List.copyOf(servers);
        budgets = Map.copyOf(budgets);
        spendings = List.copyOf(spendings);
        crashes = List.copyOf(crashes);
        loads = List.copyOf(loads);
    }

    /** Takes a snapshot. Must be called on the traffic thread. */
    static TrafficSnapshot take(
            RequestFlow flow, SharedLimitStatus limits, LoadSources loads, long nowNanos) {
        FleetSnapshot fleet = flow.state().snapshot();
        TreeSet<ServiceId> services =
                new TreeSet<>(Comparator.comparing((ServiceId service) -> service.value()));
        fleet.servers().values().forEach(server -> services.add(server.service()));
        Map<BackendServerId, LimitView> limitsByServer = new HashMap<>();
        for (LimitView each : flow.statements().limits().views()) {
            if (each.isLimited()) {
                limitsByServer.put(each.server(), each);
            }
        }
        Map<BackendServerId, WithdrawalView> withdrawalsByServer = new HashMap<>();
        flow.statements()
                .withdrawals()
                .forEach(each -> withdrawalsByServer.put(each.server(), each));
        List<ServerSnapshot> servers = new ArrayList<>();
        for (ServiceId service : services) {
            for (ServerLoad load : flow.servers().of(service)) {
                LimitView limit = limitsByServer.get(load.server().id());
                WithdrawalView withdrawal = withdrawalsByServer.get(load.server().id());
                servers.add(snapshot(flow, limits, load, withdrawal, limit, nowNanos));
            }
        }
        servers.sort(ORDER);
        return new TrafficSnapshot(
                nowNanos,
                servers,
                limits.budgets(nowNanos),
                flow.spending().map(SpendingCheck::views).orElse(List.of()),
                flow.crashGuard().views(),
                WorkspaceSnapshot.take(flow.authenticator(), nowNanos),
                loads.take(
                        fleet,
                        flow.servers()::region,
                        flow.forwarding().monitor()::state,
                        nowNanos));
    }

    private static ServerSnapshot snapshot(
            RequestFlow flow,
            SharedLimitStatus limits,
            ServerLoad load,
            WithdrawalView withdrawal,
            LimitView limit,
            long nowNanos) {
        RegisteredServer server = load.server();
        boolean cold = limits.isCold(server, nowNanos);
        Optional<ServiceRules> rules = flow.state().rules(server.service());
        List<InstanceId> owners =
                cold && rules.isPresent() ? limits.owners(server, rules.get()) : List.of();
        return new ServerSnapshot(
                server,
                flow.servers().isEvacuated(server.zone()),
                cold,
                owners,
                load.ownInFlight(),
                load.inFlight(nowNanos),
                load.serviceNanos(),
                load.avoidReason(nowNanos),
                Optional.ofNullable(withdrawal),
                Optional.ofNullable(limit),
                flow.placer()
                        .chooser()
                        .outlierDetector()
                        .evaluation(server.service(), server.id(), nowNanos));
    }
}
