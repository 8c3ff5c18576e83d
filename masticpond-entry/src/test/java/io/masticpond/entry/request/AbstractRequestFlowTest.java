package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.placement.LoadGate;
import io.masticpond.core.placement.PlacementSettings;
import io.masticpond.core.placement.RequestPlacer;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.serverlimit.ServerLimitSettings;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.settings.HeaderNames;
import io.masticpond.entry.settings.WorkspaceSettings;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Base class for tests of {@link RequestFlow} in which the test answers for the backend servers and
 * drives the clock.
 */
abstract class AbstractRequestFlowTest {

    static final HeaderNames NAMES =
            new HeaderNames(
                    "Id",
                    "Wait",
                    "Key",
                    "Seal",
                    "For",
                    "Load",
                    "Limit",
                    "Leaving",
                    "Cold",
                    "Not-Run",
                    "Retry-After",
                    "Credential",
                    "Workspace");
    static final ServiceId SERVICE = FakeSnapshot.SERVICE;
    static final ZoneId ZONE = FakeSnapshot.ZONE;

    final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    final EmbeddedChannel mChannel = new EmbeddedChannel();
    final FakeConnections mConnections = new FakeConnections();
    final FakeResponder mResponder = new FakeResponder();
    final RecentDecisions mDecisions = new RecentDecisions(DecisionLog.NONE, mTime);
    LoadGate mLoadGate = LoadGate.OPEN;
    Set<BackendServerId> mColdServers = Set.of();
    int mColdPermits;
    boolean mHasBudget = true;
    int mRequestCount;
    Optional<SpendingCheck> mSpending = Optional.empty();
    WorkspaceAuthenticator mAuthenticator =
            new WorkspaceAuthenticator(
                    NAMES,
                    mTime,
                    WorkspaceSettings.DEFAULT,
                    new SharedRates(WorkspaceSettings.DEFAULT.rates()),
                    () -> 0);

    final OwnerCandidate mSelf = new OwnerCandidate(new InstanceId("self"), ZONE);
    List<OwnerCandidate> mInstances = List.of(mSelf);
    final ServerLimitGate mServerLimits =
            new ServerLimitGate(
                    ServerLimitSettings.DEFAULT,
                    mSelf,
                    Map.of(ZONE, new RegionId("r")),
                    () -> mInstances,
                    () -> mInstances.size(),
                    mTime,
                    mDecisions);

    /** Freezes the channel's time, which otherwise also passes between two steps. */
    AbstractRequestFlowTest() {
        mChannel.freezeTime();
    }

    void passTime(Duration time) {
        mTime.advance(time);
        mChannel.advanceTimeBy(time.toNanos(), TimeUnit.NANOSECONDS);
        mChannel.runScheduledPendingTasks();
    }

    void handle(RequestFlow flow) {
        flow.handle(request(), mResponder);
    }

    RequestFlow flow(boolean idempotent, int attempts) {
        RequestFlow flow =
                new RequestFlow(
                        mChannel.eventLoop(),
                        mTime,
                        NAMES,
                        mConnections,
                        new ServerTable(ZONE, Map.of(ZONE, new RegionId("r"))),
                        new RequestPlacer(
                                new ServerChooser(
                                        PlacementSettings.DEFAULT,
                                        new CallOutlierDetector(
                                                CallOutlierDetectorSettings.DEFAULT)),
                                mLoadGate),
                        new CountedColdGate(),
                        new FixedBudget(() -> mHasBudget),
                        route -> SERVICE,
                        () -> 1,
                        mSpending,
                        mAuthenticator,
                        new ServerStatements(
                                NAMES,
                                mServerLimits,
                                WithdrawalSettings.DEFAULT,
                                mTime,
                                mDecisions),
                        mDecisions);
        flow.update(
                EntryState.of(
                        FakeSnapshot.of(idempotent, attempts, false, Set.of()), EntryState.EMPTY));
        return flow;
    }

    /** Sends a request with an id of its own, without an affinity key if the key is null. */
    FakeResponder handleRequest(RequestFlow flow, String key) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "host").set("Id", "r" + mRequestCount++).set("Wait", "800");
        if (key != null) {
            headers.set("Key", key);
        }
        long now = mTime.monotonicNanos();
        FakeResponder responder = new FakeResponder();
        flow.handle(
                new IncomingRequest(
                        HttpMethod.GET, "/a/x", headers, Unpooled.EMPTY_BUFFER, now, now),
                responder);
        return responder;
    }

    IncomingRequest request() {
        return request("/a/x?y=1");
    }

    IncomingRequest request(String target) {
        HttpHeaders headers = new DefaultHttpHeaders();
        headers.set("Host", "host").set("Id", "one").set("Key", "k").set("Wait", "800");
        long now = mTime.monotonicNanos();
        return new IncomingRequest(
                HttpMethod.GET, target, headers, Unpooled.EMPTY_BUFFER, now, now);
    }

    /**
     * Cold gate that grants as many permits for cold servers as the test has left, at first none.
     */
    private final class CountedColdGate implements ColdGate {

        @Override
        public boolean isCold(RegisteredServer server, long nowNanos) {
            return mColdServers.contains(server.id());
        }

        @Override
        public boolean tryAcquire(RegisteredServer server, ServiceRules rules, long nowNanos) {
            return !isCold(server, nowNanos) || mColdPermits-- > 0;
        }
    }
}
