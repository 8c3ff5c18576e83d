package io.masticpond.entry.control;

import io.masticpond.core.crash.RequestFingerprint;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Release of rejected requests on the traffic thread, for which no operator waits longer than
 * {@link #TIMEOUT}. Not thread-safe: for the control thread only.
 */
final class RejectionRelease {

    /** How long an operator waits for the traffic thread. */
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final Executor mTraffic;
    private final ScheduledExecutorService mControl;
    private final Predicate<RequestFingerprint> mRelease;

    /**
     * Creates a release.
     *
     * @param release releases a request on the traffic thread, and returns whether it was known
     */
    RejectionRelease(
            Executor traffic,
            ScheduledExecutorService control,
            Predicate<RequestFingerprint> release) {
        mTraffic = traffic;
        mControl = control;
        mRelease = release;
    }

    /**
     * Releases a request, and passes to a callback once whether it was known, or within {@link
     * #TIMEOUT} that the traffic thread has not answered; the release is then still pending.
     */
    void release(
            RequestFingerprint fingerprint, Consumer<Either<ControlProblem, Boolean>> callback) {
        PendingRelease pending = new PendingRelease(callback);
        pending.mTimeout =
                mControl.schedule(
                        () -> pending.complete(Either.left(busy(fingerprint))),
                        TIMEOUT.toNanos(),
                        TimeUnit.NANOSECONDS);
        mTraffic.execute(
                () -> {
                    boolean isKnown = mRelease.test(fingerprint);
                    mControl.execute(() -> pending.complete(Either.right(isKnown)));
                });
    }

    private static ControlProblem busy(RequestFingerprint fingerprint) {
        return ControlProblem.unavailable(
                "traffic-busy",
                "The traffic thread has not released "
                        + fingerprint
                        + " within "
                        + TIMEOUT.toMillis()
                        + " ms; the release is pending.");
    }

    /** A release that waits for the traffic thread. */
    private static final class PendingRelease {

        private final Consumer<Either<ControlProblem, Boolean>> mCallback;
        private Future<?> mTimeout;
        private boolean mCompleted;

        PendingRelease(Consumer<Either<ControlProblem, Boolean>> callback) {
            mCallback = callback;
        }

        void complete(Either<ControlProblem, Boolean> result) {
            if (!mCompleted) {
                mCompleted = true;
                mTimeout.cancel(false);
                mCallback.accept(result);
            }
        }
    }
}
