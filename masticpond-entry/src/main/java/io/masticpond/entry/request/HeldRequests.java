package io.masticpond.entry.request;

import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.http.Responder;
import io.masticpond.entry.log.RequestRecord;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Queue of requests that reached an instance before it received its first routes and servers.
 * Clients connect as soon as an instance listens, some tenths of a second before it has its
 * snapshot. Refusing them would use up one of their few attempts, and all would retry at the same
 * time. Therefore each request waits for the snapshot for a short time, but not beyond its
 * deadline, and is refused if the snapshot does not arrive. For use on the traffic thread only.
 */
final class HeldRequests {

    /**
     * Maximum wait of a request. A start takes 0.35 s from the first client to the snapshot; a
     * client that has waited longer is asked to retry.
     */
    static final Duration MAXIMUM_WAIT = Duration.ofMillis(400);

    /** Maximum number of requests, which bounds the memory that they use. */
    static final int MAXIMUM_REQUESTS = 512;

    /** Callback interface for a request that leaves the queue. */
    @FunctionalInterface
    interface Handler {

        /** Handles the request. The handler takes over its body. */
        void handle(IncomingRequest request, Responder responder, RequestRecord facts);
    }

    private record Held(IncomingRequest request, Responder responder, RequestRecord facts) {}

    private final EventLoop mEventLoop;
    private final Handler mTimeoutHandler;
    private final Handler mDisconnectHandler;
    private final Set<Held> mHeld = new LinkedHashSet<>();

    /**
     * Creates an empty queue.
     *
     * @param eventLoop the traffic thread
     * @param timeoutHandler handles the requests that waited for too long
     * @param disconnectHandler handles the requests whose clients disconnected meanwhile
     */
    HeldRequests(EventLoop eventLoop, Handler timeoutHandler, Handler disconnectHandler) {
        mEventLoop = eventLoop;
        mTimeoutHandler = timeoutHandler;
        mDisconnectHandler = disconnectHandler;
    }

    /**
     * Holds a request, or passes it to the timeout handler at once if there are too many or its
     * deadline has passed.
     *
     * @param leftNanos the time until the deadline of the request
     */
    void hold(IncomingRequest request, Responder responder, RequestRecord facts, long leftNanos) {
        if (mHeld.size() >= MAXIMUM_REQUESTS || leftNanos <= 0) {
            mTimeoutHandler.handle(request, responder, facts);
            return;
        }
        Held held = new Held(request, responder, facts);
        mHeld.add(held);
        mEventLoop.schedule(
                () -> removeAndHandle(held, mTimeoutHandler),
                Math.min(MAXIMUM_WAIT.toNanos(), leftNanos),
                TimeUnit.NANOSECONDS);
        responder.onClientDisconnected(() -> removeAndHandle(held, mDisconnectHandler));
    }

    /** Releases all requests to a handler, in the order of their arrival. */
    void release(Handler handler) {
        while (!mHeld.isEmpty()) {
            Iterator<Held> first = mHeld.iterator();
            removeAndHandle(first.next(), handler);
        }
    }

    private void removeAndHandle(Held held, Handler handler) {
        if (mHeld.remove(held)) {
            handler.handle(held.request(), held.responder(), held.facts());
        }
    }

    int size() {
        return mHeld.size();
    }
}
