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
 * Cached reader of the state of the traffic thread. It runs one task at a time there, and none
 * while the last snapshot is fresh, however many reads arrive. Each pending read is completed
 * within {@link #TIMEOUT}. Not thread-safe: for the control thread only.
 */
final class TrafficReader {

    /** How long a snapshot is reused for further reads. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(200);

    /** How long a read waits for the traffic thread. */
    static final Duration TIMEOUT = Duration.ofSeconds(1);

    /** The maximum number of pending reads; a further read fails at once. */
    static final int MAXIMUM_PENDING_READS = 32;

    private static final Logger sLogger = LoggerFactory.getLogger(TrafficReader.class);

    private final TimeSource mTimeSource;
    private final Executor mTraffic;
    private final ScheduledExecutorService mControl;
    private final LongFunction<TrafficSnapshot> mSnapshotFunction;
    private final List<PendingRead> mPendingReads = new ArrayList<>();
    private TrafficSnapshot mSnapshot;
    private boolean mSnapshotRequested;

    TrafficReader(
            TimeSource timeSource,
            Executor traffic,
            ScheduledExecutorService control,
            LongFunction<TrafficSnapshot> snapshotFunction) {
        mTimeSource = timeSource;
        mTraffic = traffic;
        mControl = control;
        mSnapshotFunction = snapshotFunction;
    }

    /**
     * Passes a snapshot, or the problem that prevents one, to a callback, either at once or within
     * {@link #TIMEOUT}.
     */
    void read(Consumer<Either<ControlProblem, TrafficSnapshot>> callback) {
        long now = mTimeSource.monotonicNanos();
        if (mSnapshot != null && now - mSnapshot.takenNanos() < MAXIMUM_AGE.toNanos()) {
            callback.accept(Either.right(mSnapshot));
            return;
        }
        if (mPendingReads.size() >= MAXIMUM_PENDING_READS) {
            callback.accept(
                    Either.left(
                            ControlProblem.unavailable(
                                    "too-many-questions", "Too many questions wait already.")));
            return;
        }
        PendingRead pending = new PendingRead(callback);
        mPendingReads.add(pending);
        pending.mTimeout =
                mControl.schedule(() -> expire(pending), TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        if (!mSnapshotRequested) {
            mSnapshotRequested = true;
            mTraffic.execute(this::take);
        }
    }

    /** Takes a snapshot and passes it to the control thread. Runs on the traffic thread. */
    private void take() {
        Either<ControlProblem, TrafficSnapshot> result;
        try {
            result = Either.right(mSnapshotFunction.apply(mTimeSource.monotonicNanos()));
        } catch (RuntimeException e) {
            sLogger.error("CONTROL  Failed to take a snapshot on the traffic thread.", e);
            result = Either.left(new ControlProblem(500, "fault", "No snapshot could be taken."));
        }
        Either<ControlProblem, TrafficSnapshot> outcome = result;
        mControl.execute(() -> complete(outcome));
    }

    private void complete(Either<ControlProblem, TrafficSnapshot> result) {
        mSnapshotRequested = false;
        mSnapshot = result.getOrNull();
        List<PendingRead> completed = List.copyOf(mPendingReads);
        mPendingReads.clear();
        for (PendingRead pending : completed) {
            pending.mTimeout.cancel(false);
            pending.mCallback.accept(result);
        }
    }

    private void expire(PendingRead pending) {
        if (mPendingReads.remove(pending)) {
            pending.mCallback.accept(
                    Either.left(
                            ControlProblem.unavailable(
                                    "traffic-busy",
                                    "The traffic thread gave no snapshot within "
                                            + TIMEOUT.toMillis()
                                            + " ms.")));
        }
    }

    /** A read that waits for the traffic thread. */
    private static final class PendingRead {

        private final Consumer<Either<ControlProblem, TrafficSnapshot>> mCallback;
        private Future<?> mTimeout;

        PendingRead(Consumer<Either<ControlProblem, TrafficSnapshot>> callback) {
            mCallback = callback;
        }
    }
}
