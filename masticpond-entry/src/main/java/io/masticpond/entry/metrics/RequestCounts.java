package io.masticpond.entry.metrics;

import io.masticpond.entry.log.AttemptResult;
import io.masticpond.entry.log.RequestOutcome;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.RouteKind;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;

/** Counters of requests and their attempts by how they ended. Safe for use by multiple threads. */
final class RequestCounts {

    /** Maximum number of routes with a label of their own. */
    static final int ROUTES = 24;

    /** Maximum number of causes with a label of their own. */
    static final int CAUSES = 24;

    /**
     * Maximum number of workspaces with a label of their own. Each of them adds one time series per
     * outcome.
     */
    static final int WORKSPACES = 16;

    private static final String NO_ROUTE = "none";

    private final BoundedNames mRoutes = new BoundedNames(ROUTES);
    private final BoundedNames mCauses = new BoundedNames(CAUSES);
    private final BoundedNames mWorkspaces = new BoundedNames(WORKSPACES);
    private final Map<RequestOutcome, OutcomeCounts> mOutcomes =
            new EnumMap<>(RequestOutcome.class);
    private final Map<AttemptResult, AtomicLong> mAttempts = new EnumMap<>(AttemptResult.class);
    private final AtomicLong mRetries = new AtomicLong();
    private final LatencyBuckets mAttemptLatency = new LatencyBuckets();

    RequestCounts() {
        for (RequestOutcome outcome : RequestOutcome.values()) {
            mOutcomes.put(outcome, new OutcomeCounts());
        }
        for (AttemptResult result : AttemptResult.values()) {
            mAttempts.put(result, new AtomicLong());
        }
    }

    /** Counts a request that has ended. */
    void ended(RequestRecord request) {
        OutcomeCounts counts = mOutcomes.get(request.outcome());
        String route = request.route() == null ? NO_ROUTE : request.route().value();
        counts.mRequests.getAndIncrement(mRoutes.numberOf(route));
        if (request.workspace() != null) {
            counts.mWorkspaceRequests.getAndIncrement(
                    mWorkspaces.numberOf(request.workspace().value()));
        }
        if (request.cause() != null) {
            counts.of(request.kind()).mFailures.getAndIncrement(mCauses.numberOf(request.cause()));
        }
        counts.of(request.kind()).mLatency.add(request.durationNanos());
        for (int index = 0; index < request.attempts(); index++) {
            AttemptResult result = request.attemptResult(index);
            mAttempts.get(result).getAndIncrement();
            if (result == AttemptResult.ANSWERED) {
                mAttemptLatency.add(request.attemptNanos(index));
            }
        }
    }

    /** Counts a retry of a request. */
    void retried() {
        mRetries.getAndIncrement();
    }

    BoundedNames routes() {
        return mRoutes;
    }

    BoundedNames workspaces() {
        return mWorkspaces;
    }

    long workspaceRequests(int workspace, RequestOutcome outcome) {
        return mOutcomes.get(outcome).mWorkspaceRequests.get(workspace);
    }

    BoundedNames causes() {
        return mCauses;
    }

    long requests(int route, RequestOutcome outcome) {
        return mOutcomes.get(outcome).mRequests.get(route);
    }

    long failures(int cause, RouteKind kind, RequestOutcome outcome) {
        return mOutcomes.get(outcome).of(kind).mFailures.get(cause);
    }

    long attempts(AttemptResult result) {
        return mAttempts.get(result).get();
    }

    long retries() {
        return mRetries.get();
    }

    LatencyBuckets latency(RouteKind kind, RequestOutcome outcome) {
        return mOutcomes.get(outcome).of(kind).mLatency;
    }

    LatencyBuckets attemptLatency() {
        return mAttemptLatency;
    }

    /** Counters of the requests with one outcome. */
    private static final class OutcomeCounts {

        private final AtomicLongArray mRequests = new AtomicLongArray(ROUTES + 1);
        private final AtomicLongArray mWorkspaceRequests = new AtomicLongArray(WORKSPACES + 1);
        private final Map<RouteKind, RouteKindCounts> mRouteKinds = new EnumMap<>(RouteKind.class);

        OutcomeCounts() {
            for (RouteKind kind : RouteKind.values()) {
                mRouteKinds.put(kind, new RouteKindCounts());
            }
        }

        RouteKindCounts of(RouteKind kind) {
            return mRouteKinds.get(kind);
        }
    }

    /** Counters of the requests of one kind of route with one outcome. */
    private static final class RouteKindCounts {

        private final AtomicLongArray mFailures = new AtomicLongArray(CAUSES + 1);
        private final LatencyBuckets mLatency = new LatencyBuckets();
    }
}
