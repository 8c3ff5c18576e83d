package io.masticpond.entry.control;

import io.masticpond.core.time.TimeSource;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Asks the traffic thread for a snapshot of what it knows: one task at a time, and none while the
 * last snapshot is fresh, whoever asks how often. Who waits is answered within a bounded time. Used
 * by the control thread alone.
 */
final class TrafficReader {

    /** For how long a snapshot serves all who ask. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(200);

    /** How long an answer waits for the traffic thread. */
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** How many answers may wait; the next is refused at once. */
    static final int MAXIMUM_WAITING = 32;

    private static final Logger sLogger = LoggerFactory.getLogger(TrafficReader.class);

    private final TimeSource mTimeSource;
    private final Executor mTraffic;
    private final ScheduledExecutorService mControl;
    private final LongFunction<TrafficSnapshot> mTake;
    private final List<Waiter> mWaiters = new ArrayList<>();
    private TrafficSnapshot mSnapshot;
    private boolean mAsked;

    TrafficReader(
            TimeSource timeSource,
            Executor traffic,
            ScheduledExecutorService control,
            LongFunction<TrafficSnapshot> take) {
        mTimeSource = timeSource;
        mTraffic = traffic;
        mControl = control;
        mTake = take;
    }

    /** Gives a snapshot to an answer, now or later, or why there is none. */
    void read(Consumer<Either<ControlProblem, TrafficSnapshot>> answer) {
        long now = mTimeSource.monotonicNanos();
        if (mSnapshot != null && now - mSnapshot.takenNanos() < MAXIMUM_AGE.toNanos()) {
            answer.accept(Either.right(mSnapshot));
            return;
        }
        if (mWaiters.size() >= MAXIMUM_WAITING) {
            answer.accept(
                    Either.left(
                            ControlProblem.unavailable(
                                    "too-many-questions", "Too many questions wait already.")));
            return;
        }
        Waiter waiter = new Waiter(answer);
        mWaiters.add(waiter);
        waiter.mTimeout =
                mControl.schedule(() -> giveUp(waiter), TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        if (!mAsked) {
            mAsked = true;
            mTraffic.execute(this::take);
        }
    }

    /** Takes a snapshot, on the traffic thread. */
    private void take() {
        Either<ControlProblem, TrafficSnapshot> result;
        try {
            result = Either.right(mTake.apply(mTimeSource.monotonicNanos()));
        } catch (RuntimeException e) {
            sLogger.error("CONTROL  No snapshot of the traffic could be taken.", e);
            result = Either.left(new ControlProblem(500, "fault", "No snapshot could be taken."));
        }
        Either<ControlProblem, TrafficSnapshot> taken = result;
        mControl.execute(() -> took(taken));
    }

    private void took(Either<ControlProblem, TrafficSnapshot> result) {
        mAsked = false;
        mSnapshot = result.getOrNull();
        List<Waiter> waiters = List.copyOf(mWaiters);
        mWaiters.clear();
        for (Waiter waiter : waiters) {
            waiter.mTimeout.cancel(false);
            waiter.mAnswer.accept(result);
        }
    }

    private void giveUp(Waiter waiter) {
        if (mWaiters.remove(waiter)) {
            waiter.mAnswer.accept(
                    Either.left(
                            ControlProblem.unavailable(
                                    "traffic-busy",
                                    "The traffic thread gave no snapshot within "
                                            + TIMEOUT.toMillis()
                                            + " ms.")));
        }
    }

    /** An answer that waits. */
    private static final class Waiter {

        private final Consumer<Either<ControlProblem, TrafficSnapshot>> mAnswer;
        private Future<?> mTimeout;

        Waiter(Consumer<Either<ControlProblem, TrafficSnapshot>> answer) {
            mAnswer = answer;
        }
    }
}
