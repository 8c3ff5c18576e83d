package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.limit.SharedRateSettings;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.time.Moment;
import io.masticpond.core.workspace.KeyDigest;
import io.masticpond.core.workspace.RateLimit;
import io.masticpond.core.workspace.Workspace;
import io.masticpond.core.workspace.WorkspaceTable;
import io.masticpond.entry.forward.ForwardEndpoint;
import io.masticpond.entry.forward.ForwardHeaders;
import io.masticpond.entry.forward.ForwardTerms;
import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.OutgoingAnswer;
import io.masticpond.entry.settings.WorkspaceSettings;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests of which requests are admitted, by their key and the age of the proof of the keys. */
class WorkspaceAuthenticatorTest extends AbstractRequestFlowTest {

    private static final Duration REVOCATION = Duration.ofSeconds(5);
    private static final Duration MARGIN = Duration.ofMillis(250);
    private static final SharedRateSettings RATES =
            new SharedRateSettings(Duration.ofSeconds(5), 0.1, 20);
    private static final String KEY = "the-key";

    private long mVersion = 1;

    WorkspaceAuthenticatorTest() {
        mAuthenticator =
                new WorkspaceAuthenticator(
                        NAMES,
                        mTime,
                        new WorkspaceSettings(true, REVOCATION, MARGIN, RATES),
                        new SharedRates(RATES),
                        () -> 0.5);
    }

    private void applyState(RequestFlow flow, Optional<RateLimit> limit, String... keys) {
        applyState(flow, limit, Set.of(), Set.of(), keys);
    }

    private void applyState(
            RequestFlow flow,
            Optional<RateLimit> limit,
            Set<RegionId> routeRegions,
            Set<RegionId> workspaceRegions,
            String... keys) {
        Workspace shop =
                new Workspace(
                        new WorkspaceId("shop"),
                        Set.copyOf(List.of(keys).stream().map(KeyDigest::of).toList()),
                        limit,
                        OptionalInt.empty(),
                        workspaceRegions);
        applyTable(flow, routeRegions, Optional.of(new WorkspaceTable(List.of(shop))));
    }

    private void applyTable(
            RequestFlow flow, Set<RegionId> routeRegions, Optional<WorkspaceTable> table) {
        FleetSnapshot plain = FakeSnapshot.of(true, 2, false, Set.of());
        RoutingConfiguration routing = plain.routing().orElseThrow();
        FleetSnapshot stated =
                new FleetSnapshot(
                        plain.revision(),
                        Optional.of(
                                new RoutingConfiguration(
                                        ++mVersion,
                                        routing.routes().stream()
                                                .map(route -> in(routeRegions, route))
                                                .toList(),
                                        routing.services(),
                                        routing.limits(),
                                        table)),
                        plain.servers(),
                        plain.evacuatedZones());
        flow.update(EntryState.of(stated, flow.state()));
    }

    private static Route in(Set<RegionId> regions, Route route) {
        return new Route(
                route.id(),
                route.host(),
                route.pathPrefix(),
                route.idempotent(),
                route.timeout(),
                route.targetLatency(),
                route.priority(),
                route.maximumAttempts(),
                route.affinity(),
                regions,
                route.services());
    }

    private OutgoingAnswer last() {
        return mResponder.mAnswers.get(mResponder.mAnswers.size() - 1);
    }

    private void recordProof() {
        mAuthenticator.recordProof(Moment.of(mTime));
    }

    private void sendRequest(RequestFlow flow, String key) {
        IncomingRequest request = request();
        if (key != null) {
            request.headers().set("Credential", key);
        }
        request.headers().set("Workspace", "forged");
        flow.handle(request, mResponder);
    }

    private RequestFlow flow() {
        RequestFlow flow = flow(true, 2);
        applyState(flow, Optional.empty(), KEY);
        return flow;
    }

    @Example
    void replacesKnownKeyByItsWorkspace() {
        RequestFlow flow = flow();
        recordProof();
        sendRequest(flow, KEY);
        assertThat(mConnections.last().mRequest.headers().get("Workspace")).isEqualTo("shop");
        assertThat(mConnections.last().mRequest.headers().contains("Credential")).isFalse();
    }

    @Example
    void deniesRequestsWithUnknownOrMissingKey() {
        RequestFlow flow = flow();
        recordProof();
        sendRequest(flow, "guessed");
        assertThat(last().status()).isEqualTo(401);
        sendRequest(flow, null);
        assertThat(last().status()).isEqualTo(401);
    }

    @Example
    void answersUnavailableForUnknownKeyOnOldProof() {
        RequestFlow flow = flow();
        recordProof();
        passTime(Duration.ofSeconds(3));
        sendRequest(flow, "just-added");
        assertThat(last().status()).isEqualTo(503);
    }

    @Example
    void acceptsKeysOnlyOnRecentProof() {
        RequestFlow flow = flow();
        recordProof();
        passTime(REVOCATION.minus(MARGIN));
        sendRequest(flow, KEY);
        assertThat(mConnections.mCalls).hasSize(1);
        passTime(Duration.ofMillis(1));
        sendRequest(flow, KEY);
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(last().status()).isEqualTo(503);
        assertThat(last().headers().get("Retry-After")).isEqualTo("0.100");
    }

    /** Sends a request that another instance has forwarded with the digest of a key. */
    private FakeResponder sendForwarded(RequestFlow flow, String key) {
        IncomingRequest request = request();
        new ForwardHeaders(NAMES)
                .writeTerms(
                        new ForwardTerms(SERVICE, Optional.of(KeyDigest.of(key)), 2),
                        request.headers());
        FakeResponder responder = new FakeResponder();
        new ForwardEndpoint(NAMES, flow.forwardedRequests()).handle(request, responder);
        return responder;
    }

    @Example
    void forwardedRequestRunsForTheWorkspaceOfItsKey() {
        RequestFlow flow = flow();
        recordProof();
        sendForwarded(flow, KEY);
        assertThat(mConnections.last().mRequest.headers().get("Workspace")).isEqualTo("shop");
    }

    @Example
    void forwardedRequestIsNotSentWithRevokedKeyOrOldProof() {
        RequestFlow flow = flow();
        recordProof();
        passTime(REVOCATION);
        assertThat(sendForwarded(flow, KEY).status()).isEqualTo(503);
        recordProof();
        applyState(flow, Optional.empty(), "another-key");
        assertThat(sendForwarded(flow, KEY).status()).isEqualTo(503);
        assertThat(mConnections.mCalls).isEmpty();
    }

    @Example
    void suspensionOfMachineAgesProof() {
        RequestFlow flow = flow();
        recordProof();
        mTime.stepWallClock(REVOCATION);
        sendRequest(flow, KEY);
        assertThat(last().status()).isEqualTo(503);
    }

    @Example
    void revokedKeyStopsRetry() {
        RequestFlow flow = flow();
        recordProof();
        sendRequest(flow, KEY);
        applyState(flow, Optional.empty(), "another-key");
        mConnections.last().answer(503, "Not-Run", "1");
        assertThat(mConnections.mCalls).hasSize(1);
        assertThat(last().status()).isEqualTo(401);
    }

    /** Guards against keys that stay of use since their table has no workspace any more. */
    @Example
    void aTableWithoutWorkspacesAcceptsNoKey() {
        RequestFlow flow = flow();
        recordProof();
        applyTable(flow, Set.of(), Optional.of(new WorkspaceTable(List.of())));
        for (String key : Arrays.asList(KEY, "guessed", null)) {
            sendRequest(flow, key);
            assertThat(last().status()).isEqualTo(401);
        }
        assertThat(sendForwarded(flow, KEY).status()).isEqualTo(503);
        assertThat(mConnections.mCalls).isEmpty();
    }

    /** Guards against keys that stay of use since their table is gone. */
    @Example
    void withoutTableOnlyRequestsWithoutKeyRun() {
        RequestFlow flow = flow();
        recordProof();
        applyTable(flow, Set.of(), Optional.empty());
        for (String key : List.of(KEY, "guessed")) {
            sendRequest(flow, key);
            assertThat(last().status()).isEqualTo(401);
        }
        assertThat(sendForwarded(flow, KEY).status()).isEqualTo(503);
        assertThat(mConnections.mCalls).isEmpty();
        sendRequest(flow, null);
        assertThat(mConnections.mCalls).hasSize(1);
    }

    /** Guards against 401, after which no client comes again, for a key that could not be read. */
    @Example
    void unknownKeysAreUnavailableWhileWorkspaceIsUnreadable() {
        RequestFlow flow = flow();
        recordProof();
        applyTable(flow, Set.of(), Optional.of(new WorkspaceTable(List.of(), false)));
        sendRequest(flow, KEY);
        assertThat(last().status()).isEqualTo(503);
        assertThat(mConnections.mCalls).isEmpty();
    }

    /** Guards against a second send of a request whose key has gone with the last workspace. */
    @Example
    void removalOfTheLastWorkspaceStopsRetry() {
        for (Optional<WorkspaceTable> table :
                List.of(
                        Optional.<WorkspaceTable>empty(),
                        Optional.of(new WorkspaceTable(List.of())))) {
            RequestFlow flow = flow();
            recordProof();
            sendRequest(flow, KEY);
            int sent = mConnections.mCalls.size();
            applyTable(flow, Set.of(), table);
            mConnections.last().answer(503, "Not-Run", "1");
            assertThat(mConnections.mCalls).hasSize(sent);
            assertThat(last().status()).isEqualTo(401);
        }
    }

    @Example
    void rejectsRequestsOverRateWithRetryAfter() {
        RequestFlow flow = flow(true, 2);
        applyState(flow, Optional.of(new RateLimit(1, 0)), KEY);
        for (int count = 0; count < 30; count++) {
            recordProof();
            sendRequest(flow, KEY);
        }
        assertThat(mConnections.mCalls.size()).isBetween(1, 20);
        assertThat(last().status()).isEqualTo(429);
        assertThat(Double.parseDouble(last().headers().get("Retry-After"))).isGreaterThan(0.2);
    }

    /**
     * Guards against clients that retry ten times per second, although only a change of the
     * configuration, which takes seconds, can help them.
     */
    @Example
    void asksCallerWithoutAllowedRegionToWaitForChangeOfConfiguration() {
        RequestFlow flow = flow(true, 2);
        Set<RegionId> routeRegions = Set.of(new RegionId("r"));
        Set<RegionId> workspaceRegions = Set.of(new RegionId("other"));
        applyState(flow, Optional.empty(), routeRegions, workspaceRegions, KEY);
        recordProof();
        sendRequest(flow, KEY);
        assertThat(mConnections.mCalls).isEmpty();
        assertThat(last().status()).isEqualTo(503);
        assertThat(last().body().toString(StandardCharsets.UTF_8)).contains("no-allowed-region");
        assertThat(Double.parseDouble(last().headers().get("Retry-After")))
                .isGreaterThanOrEqualTo(4);
    }

    @Example
    void logsProofAgeButNoKey() {
        RequestFlow flow = flow();
        recordProof();
        sendRequest(flow, KEY);
        sendRequest(flow, "guessed");
        String lines = mDecisions.requestLines("one").toString();
        assertThat(lines).contains("proofAgeMillis").doesNotContain(KEY).doesNotContain("guessed");
    }
}
