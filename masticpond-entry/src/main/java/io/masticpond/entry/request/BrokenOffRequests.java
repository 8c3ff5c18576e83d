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
 * Requests that broke off at backend servers. For each server it is checked whether the server
 * ended or only the connections were cut: in the first case a new connection is refused, in the
 * second it opens. One connection is tried for all requests that broke off at about the same time.
 * An instance that reaches no server of the service cannot tell whether one ended. For use on the
 * traffic thread only.
 */
final class BrokenOffRequests {

    /** Callback interface for the ends of servers that had requests. */
    interface Listener {

        /** Called when a server ended while it had a request. */
        void onServerEnded(RegisteredServer server, Request request);
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

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final BackendConnections mConnections;
    private final DecisionLog mLog;
    private final Function<ServiceId, ReachabilityState> mReachability;
    private final Map<BackendServerId, List<Request>> mRequestsUnderCheck = new HashMap<>();

    BrokenOffRequests(
            EventLoop eventLoop,
            TimeSource timeSource,
            BackendConnections connections,
            Function<ServiceId, ReachabilityState> reachability,
            DecisionLog log) {
        mReachability = reachability;
        mEventLoop = eventLoop;
        mTimeSource = timeSource;
        mConnections = connections;
        mLog = log;
    }

    void add(RegisteredServer server, Request request, Listener listener) {
        List<Request> requests = mRequestsUnderCheck.get(server.id());
        if (requests == null) {
            requests = new ArrayList<>();
            mRequestsUnderCheck.put(server.id(), requests);
            check(
                    server,
                    CHECK_AFTER_MILLIS,
                    reachability -> onFirstCheck(server, reachability, listener));
        }
        if (requests.size() < MAXIMUM_REQUESTS) {
            requests.add(request);
        }
    }

    private void check(
            RegisteredServer server, long afterMillis, Consumer<ServerReachability> resultHandler) {
        mEventLoop.schedule(
                () -> mConnections.check(server, resultHandler),
                afterMillis,
                TimeUnit.MILLISECONDS);
    }

    private void onFirstCheck(
            RegisteredServer server, ServerReachability reachability, Listener listener) {
        if (reachability == ServerReachability.UNKNOWN) {
            check(
                    server,
                    CHECK_AGAIN_MILLIS,
                    secondReachability -> onLastCheck(server, secondReachability, listener));
        } else {
            onLastCheck(server, reachability, listener);
        }
    }

    private void onLastCheck(
            RegisteredServer server, ServerReachability reachability, Listener listener) {
        ReachabilityState state = mReachability.apply(server.service());
        if (state == ReachabilityState.SUSPECTED) {
            check(
                    server,
                    CHECK_AGAIN_MILLIS,
                    laterReachability -> onLastCheck(server, laterReachability, listener));
            return;
        }
        List<Request> requests = mRequestsUnderCheck.remove(server.id());
        boolean ended =
                reachability == ServerReachability.REFUSED && state == ReachabilityState.REACHABLE;
        long sinceNanos = mTimeSource.monotonicNanos() - requests.get(0).endedNanos();
        mLog.viewChanged(
                new ViewChange.ServerCheck(
                        server.id(),
                        ended,
                        requests.size(),
                        TimeUnit.NANOSECONDS.toMillis(sinceNanos)));
        if (ended) {
            requests.forEach(request -> listener.onServerEnded(server, request));
        }
    }
}
