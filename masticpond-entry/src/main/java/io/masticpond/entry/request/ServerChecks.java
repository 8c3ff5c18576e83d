package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.backend.ServerReachability;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ViewChange;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Checks of backend servers whose connections broke off or were refused: whether the server ended
 * or only the connections were cut. In the first case a new connection is refused, in the second it
 * opens. One connection is tried for all requests that broke off at about the same time. An
 * instance that reaches no server of the service cannot tell whether one ended. For use on the
 * traffic thread only.
 */
final class ServerChecks {

    /** Callback interface for the ends of servers that had requests. */
    interface Listener {

        /** Called when a server ended. */
        void onServerEnded(RegisteredServer server);

        /** Called for each request that the server had, after {@link #onServerEnded}. */
        void onRequestEnded(RegisteredServer server, Request request);
    }

    /** Request that broke off, with the monotonic times of its sending and its end. */
    record Request(RequestFingerprint fingerprint, long sentNanos, long endedNanos) {}

    /**
     * Delay before a server is checked. A process that ends closes its connections one by one, the
     * listening socket among them, so an immediate check might still connect.
     */
    private static final long CHECK_AFTER_MILLIS = 20;

    /**
     * Delay before a check without a result is repeated. A lost packet leaves a check without a
     * result; one repetition resolves most of these cases.
     */
    private static final long CHECK_AGAIN_MILLIS = 100;

    /**
     * Maximum number of requests kept for each server under check. Further requests add no
     * information.
     */
    private static final int MAXIMUM_REQUESTS = 64;

    /** Maximum number of servers under check for the reset of an idle connection. */
    private static final int MAXIMUM_IDLE_CHECKS = 4;

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final BackendConnections mConnections;
    private final DecisionLog mLog;
    private final Function<ServiceId, ReachabilityState> mReachability;
    private final Listener mListener;
    private final Map<BackendServerId, List<Request>> mRequestsUnderCheck = new HashMap<>();

    ServerChecks(
            EventLoop eventLoop,
            TimeSource timeSource,
            BackendConnections connections,
            Function<ServiceId, ReachabilityState> reachability,
            DecisionLog log,
            Listener listener) {
        mReachability = reachability;
        mListener = listener;
        mEventLoop = eventLoop;
        mTimeSource = timeSource;
        mConnections = connections;
        mLog = log;
    }

    /** Checks a server at which a request broke off. */
    void add(RegisteredServer server, Request request) {
        List<Request> requests = requestsUnderCheck(server);
        if (requests.size() < MAXIMUM_REQUESTS) {
            requests.add(request);
        }
    }

    /** Checks a server whose connections failed without a request. */
    void add(RegisteredServer server) {
        requestsUnderCheck(server);
    }

    /**
     * Checks a server that reset an idle connection, unless many servers are checked: if many reset
     * their connections at the same time, the connections were cut.
     */
    void addIfFew(RegisteredServer server) {
        if (mRequestsUnderCheck.size() < MAXIMUM_IDLE_CHECKS) {
            requestsUnderCheck(server);
        }
    }

    private List<Request> requestsUnderCheck(RegisteredServer server) {
        List<Request> requests = mRequestsUnderCheck.get(server.id());
        if (requests == null) {
            requests = new ArrayList<>();
            mRequestsUnderCheck.put(server.id(), requests);
            long nowNanos = mTimeSource.monotonicNanos();
            check(
                    server,
                    CHECK_AFTER_MILLIS,
                    reachability -> onFirstCheck(server, reachability, nowNanos));
        }
        return requests;
    }

    private void check(
            RegisteredServer server, long afterMillis, Consumer<ServerReachability> resultHandler) {
        mEventLoop.schedule(
                () -> mConnections.check(server, resultHandler),
                afterMillis,
                TimeUnit.MILLISECONDS);
    }

    private void onFirstCheck(
            RegisteredServer server, ServerReachability reachability, long sinceNanos) {
        if (reachability == ServerReachability.UNKNOWN) {
            check(
                    server,
                    CHECK_AGAIN_MILLIS,
                    secondReachability -> onLastCheck(server, secondReachability, sinceNanos));
        } else {
            onLastCheck(server, reachability, sinceNanos);
        }
    }

    private void onLastCheck(
            RegisteredServer server, ServerReachability reachability, long sinceNanos) {
        ReachabilityState state = mReachability.apply(server.service());
        if (state == ReachabilityState.SUSPECTED) {
            check(
                    server,
                    CHECK_AGAIN_MILLIS,
                    laterReachability -> onLastCheck(server, laterReachability, sinceNanos));
            return;
        }
        List<Request> requests = mRequestsUnderCheck.remove(server.id());
        boolean ended =
                reachability == ServerReachability.REFUSED && state == ReachabilityState.REACHABLE;
        mLog.viewChanged(
                new ViewChange.ServerCheck(
                        server.id(),
                        ended,
                        requests.size(),
                        TimeUnit.NANOSECONDS.toMillis(mTimeSource.monotonicNanos() - sinceNanos)));
        if (ended) {
            mListener.onServerEnded(server);
            requests.forEach(request -> mListener.onRequestEnded(server, request));
        }
    }
}
