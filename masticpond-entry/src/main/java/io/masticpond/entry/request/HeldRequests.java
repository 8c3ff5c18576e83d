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
 * Requests that reached an instance before it knew its first routes and servers. Clients connect as
 * soon as an instance listens, some tenths of a second before its snapshot is there; refusing them
 * would cost them one of their few tries, and all would come back together. So each waits for the
 * snapshot, a short time and never near its deadline, and is refused as before if that does not
 * come. Traffic thread only.
 */
final class HeldRequests {

    /**
     * The longest wait. A start needs 0.35 s from its first client to its snapshot; a client that
     * has been kept for longer is told to come back.
     */
    static final Duration MAXIMUM_WAIT = Duration.ofMillis(400);

    /** The most requests, which bounds what they keep in memory. */
    static final int MAXIMUM_REQUESTS = 512;

    /** What is done with a request that leaves here. */
    @FunctionalInterface
    interface Next {

        /** Takes the request over, with its body. */
        void take(IncomingRequest request, Responder responder, RequestRecord facts);
    }

    private record Held(IncomingRequest request, Responder responder, RequestRecord facts) {}

    private final EventLoop mEventLoop;
    private final Next mGivenUp;
    private final Next mGone;
    private final Set<Held> mHeld = new LinkedHashSet<>();

    /**
     * Holds nothing yet.
     *
     * @param eventLoop the traffic thread
     * @param givenUp takes what waited for too long
     * @param gone takes what its client gave up meanwhile
     */
    HeldRequests(EventLoop eventLoop, Next givenUp, Next gone) {
        mEventLoop = eventLoop;
        mGivenUp = givenUp;
        mGone = gone;
    }

    /** Holds a request, or gives it up at once if there are too many. */
    void hold(IncomingRequest request, Responder responder, RequestRecord facts) {
        if (mHeld.size() >= MAXIMUM_REQUESTS) {
            mGivenUp.take(request, responder, facts);
            return;
        }
        Held held = new Held(request, responder, facts);
        mHeld.add(held);
        mEventLoop.schedule(
                () -> leave(held, mGivenUp), MAXIMUM_WAIT.toMillis(), TimeUnit.MILLISECONDS);
        responder.onClientDisconnected(() -> leave(held, mGone));
    }

    /** Lets all go on, in the order in which they came. */
    void release(Next next) {
        while (!mHeld.isEmpty()) {
            Iterator<Held> first = mHeld.iterator();
            leave(first.next(), next);
        }
    }

    private void leave(Held held, Next next) {
        if (mHeld.remove(held)) {
            next.take(held.request(), held.responder(), held.facts());
        }
    }

    int size() {
        return mHeld.size();
    }
}
