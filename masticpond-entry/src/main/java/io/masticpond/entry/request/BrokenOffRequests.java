package io.masticpond.entry.request;

import io.masticpond.core.crash.RequestFingerprint;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
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

/**
 * Finds out whether a backend server ended when requests broke off there, or only their connections
 * were cut: a new connection is refused, or it opens. One attempt for all that broke off at about
 * the same time. Traffic thread only.
 */
final class BrokenOffRequests {

    /** Takes what is found out. */
    interface Listener {

        /** Hears that a server ended while it had a request. */
        void ended(RegisteredServer server, Request request);
    }

    /** A request that broke off, with the monotonic times of its sending and its end. */
    record Request(RequestFingerprint fingerprint, long sentNanos, long endedNanos) {}

    /** A process that ends closes its connections one by one, and the listening one among them. */
    private static final long CHECK_AFTER_MILLIS = 20;

    /** A lost packet leaves a check without a result; one more try finds most of them. */
    private static final long CHECK_AGAIN_MILLIS = 100;

    /** More requests of one server than this tell nothing new. */
    private static final int MOST_REQUESTS = 64;

    private final EventLoop mEventLoop;
    private final TimeSource mTimeSource;
    private final BackendConnections mConnections;
    private final DecisionLog mLog;
    private final Map<BackendServerId, List<Request>> mUnderCheck = new HashMap<>();

    BrokenOffRequests(
            EventLoop eventLoop,
            TimeSource timeSource,
            BackendConnections connections,
            DecisionLog log) {
        mEventLoop = eventLoop;
        mTimeSource = timeSource;
        mConnections = connections;
        mLog = log;
    }

    void add(RegisteredServer server, Request request, Listener listener) {
        List<Request> requests = mUnderCheck.get(server.id());
        if (requests == null) {
            requests = new ArrayList<>();
            mUnderCheck.put(server.id(), requests);
            check(server, CHECK_AFTER_MILLIS, reach -> checkedOnce(server, reach, listener));
        }
        if (requests.size() < MOST_REQUESTS) {
            requests.add(request);
        }
    }

    private void check(
            RegisteredServer server, long afterMillis, Consumer<ServerReachability> taker) {
        mEventLoop.schedule(
                () -> mConnections.check(server, taker), afterMillis, TimeUnit.MILLISECONDS);
    }

    private void checkedOnce(RegisteredServer server, ServerReachability reach, Listener listener) {
        if (reach == ServerReachability.UNKNOWN) {
            check(server, CHECK_AGAIN_MILLIS, again -> checked(server, again, listener));
        } else {
            checked(server, reach, listener);
        }
    }

    private void checked(RegisteredServer server, ServerReachability reach, Listener listener) {
        List<Request> requests = mUnderCheck.remove(server.id());
        boolean ended = reach == ServerReachability.REFUSED;
        long sinceNanos = mTimeSource.monotonicNanos() - requests.get(0).endedNanos();
        mLog.viewChanged(
                new ViewChange.ServerCheck(
                        server.id(),
                        ended,
                        requests.size(),
                        TimeUnit.NANOSECONDS.toMillis(sinceNanos)));
        if (ended) {
            requests.forEach(request -> listener.ended(server, request));
        }
    }
}
