package io.masticpond.daemon.instance;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;
import io.netty.util.concurrent.Future;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;

/**
 * Request that awaits its answer. Confined to the event loop of the links, except for its future.
 *
 * <p>A call ends exactly once: by an answer, a refusal, a timeout or the loss of its connection.
 */
final class OutboundCall extends OutboundMessage {

    private final InstanceId mTo;
    private final Duration mTimeout;
    private final CompletableFuture<Either<LinkError, Envelope>> mFuture =
            new CompletableFuture<>();
    private boolean mHandedOver;
    private boolean mWriteBegan;
    private Future<?> mTimer;
    private Runnable mOnTimeout = () -> {};
    private Runnable mOnEnd = () -> {};

    OutboundCall(InstanceId to, Envelope envelope, Duration timeout) {
        super(envelope);
        mTo = to;
        mTimeout = timeout;
    }

    CompletableFuture<Either<LinkError, Envelope>> future() {
        return mFuture;
    }

    Duration timeout() {
        return mTimeout;
    }

    void timer(Future<?> timer) {
        mTimer = timer;
    }

    /** Sets the callback for the end of the call; must be set before the call is submitted. */
    void onEnd(Runnable onEnd) {
        mOnEnd = onEnd;
    }

    /**
     * Records that a connection has taken over the call, and sets the callback that removes it from
     * there on a timeout.
     */
    void handedOver(Runnable onTimeout) {
        mHandedOver = true;
        mOnTimeout = onTimeout;
    }

    @Override
    boolean isAbandoned() {
        return mFuture.isDone();
    }

    @Override
    void writeBegan() {
        mWriteBegan = true;
    }

    @Override
    void notWritten(String reason) {
        if (mWriteBegan) {
            lost(reason);
        } else {
            end(new LinkError.NotSent(describe("was not sent", reason)));
        }
    }

    /** Ends the call because its connection was lost. */
    void lost(String reason) {
        end(new LinkError.Lost(describe("may have arrived", reason)));
    }

    /** Ends the call because the other instance refused it. */
    void refused(String reason) {
        end(new LinkError.Refused(describe("was declined", reason)));
    }

    /** Ends the call because its timeout elapsed. */
    void timedOut() {
        if (mHandedOver) {
            mOnTimeout.run();
            end(new LinkError.Timeout(describe("was not answered", "The time ran out.")));
        } else {
            end(new LinkError.NotSent(describe("was not sent", "The time ran out.")));
        }
    }

    /** Ends the call with its answer. */
    void answered(Envelope answer) {
        complete(Either.right(answer));
    }

    private void end(LinkError error) {
        complete(Either.left(error));
    }

    private void complete(Either<LinkError, Envelope> result) {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        if (mFuture.complete(result)) {
            mOnEnd.run();
        }
    }

    private String describe(String outcome, String reason) {
        return "A " + envelope().getBodyCase() + " to " + mTo + " " + outcome + ": " + reason;
    }
}
