package io.masticpond.daemon.lifecycle;

import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Planned stop of this instance, which lets requests in flight complete.
 *
 * <p>The stop marks the instance as leaving, so that look-ups no longer return it. It then
 * continues to serve until cached look-ups have expired and all requests in flight have ended,
 * hands over outcomes and returns allotments. Thread-safe.
 *
 * @since 0.1
 */
public final class PlannedStop {

    private static final Logger sLogger = LoggerFactory.getLogger(PlannedStop.class);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(20);

    /** Time allowed for the leaving flag to reach every peer. */
    private static final Duration LEAVING_PROPAGATION_TIME = Duration.ofMillis(1_500);

    /** Time without a request in flight after which no further requests are expected. */
    private static final Duration IDLE_PERIOD = Duration.ofMillis(200);

    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(5);

    private final StoppableParts mParts;
    private final TimeSource mTimeSource;
    private final Timeline mTimeline;
    private final Duration mLookupLifetime;
    private final Duration mDrainTimeout;
    private final Consumer<Duration> mPause;
    private final CompletableFuture<Boolean> mResult = new CompletableFuture<>();
    private volatile Progress mProgress = new Progress(DrainState.SERVING, 0);

    /**
     * Creates a planned stop that has not begun.
     *
     * @param parts the parts of the daemon to stop
     * @param timeSource the clock
     * @param timeline the timeline that receives the events
     * @param lookupLifetime the time for which callers may cache look-up answers
     * @param drainTimeout the maximum time to wait for requests in flight, counted from the
     *     beginning of the stop
     * @param pause blocks the calling thread for a duration
     */
    public PlannedStop(
            StoppableParts parts,
            TimeSource timeSource,
            Timeline timeline,
            Duration lookupLifetime,
            Duration drainTimeout,
            Consumer<Duration> pause) {
        mParts = parts;
        mTimeSource = timeSource;
        mTimeline = timeline;
        mLookupLifetime = lookupLifetime;
        mDrainTimeout = drainTimeout;
        mPause = pause;
    }

    /**
     * Returns the state of the stop.
     *
     * @return the state
     */
    public DrainState state() {
        Progress progress = mProgress;
        boolean drained =
                progress.state() == DrainState.LEAVING
                        && haveLookupsExpired(progress.leavingSinceNanos())
                        && isIdle();
        return drained ? DrainState.DRAINED : progress.state();
    }

    /**
     * Marks this instance as leaving, so that it gets no new callers; all requests in flight are
     * still served.
     */
    public synchronized void drain() {
        if (mProgress.state() != DrainState.SERVING) {
            return;
        }
        mProgress = new Progress(DrainState.LEAVING, mTimeSource.monotonicNanos());
        mParts.setLeaving(true);
        record("instance-leaving");
    }

    /**
     * Cancels a {@link #drain}.
     *
     * @return whether this instance is serving again; {@code false} once it is stopping
     */
    public synchronized boolean undrain() {
        if (mProgress.state() == DrainState.STOPPING) {
            return false;
        }
        if (mProgress.state() != DrainState.SERVING) {
            mProgress = new Progress(DrainState.SERVING, 0);
            mParts.setLeaving(false);
            record("instance-stays");
        }
        return true;
    }

    /**
     * Completes all work, within the drain timeout and a few seconds more. The process may close
     * all its parts afterwards. If a stop has already begun, waits for its end.
     *
     * @return whether no request was interrupted
     */
    public boolean stop() {
        if (!begin()) {
            return mResult.join();
        }
        try {
            mResult.complete(finish());
        } finally {
            // Has no effect unless the stop failed.
            mResult.complete(false);
        }
        return mResult.join();
    }

    /**
     * Begins the stop in one step, so that no {@link #undrain} can take back the leaving flag of an
     * instance that stops.
     */
    private synchronized boolean begin() {
        if (mProgress.state() == DrainState.STOPPING) {
            return false;
        }
        drain();
        mProgress = new Progress(DrainState.STOPPING, mProgress.leavingSinceNanos());
        return true;
    }

    private boolean finish() {
        boolean idle = finishRequests();
        if (!idle) {
            sLogger.warn("PROCESS  Stopping with {} requests in flight.", mParts.inFlight());
        }
        if (!mParts.handOverOutcomes(HANDOVER_TIMEOUT)) {
            sLogger.warn("PROCESS  Not all outcomes were handed over.");
        }
        if (!mParts.returnAllotments(HANDOVER_TIMEOUT)) {
            sLogger.warn("PROCESS  Not all allotments were returned.");
        }
        record("instance-stopped");
        return idle;
    }

    /** Waits until no request is in flight, and refuses new requests from that moment on. */
    private boolean finishRequests() {
        long leavingSinceNanos = mProgress.leavingSinceNanos();
        long end = mTimeSource.monotonicNanos() + mDrainTimeout.toNanos();
        long idleSinceNanos = mTimeSource.monotonicNanos();
        while (mTimeSource.monotonicNanos() - end < 0) {
            long now = mTimeSource.monotonicNanos();
            if (!isIdle()) {
                idleSinceNanos = now;
            } else if (haveLookupsExpired(leavingSinceNanos)
                    && now - idleSinceNanos >= IDLE_PERIOD.toNanos()
                    && mParts.refuseNewRequestsIfIdle()) {
                return true;
            }
            mPause.accept(POLL_INTERVAL);
        }
        mParts.refuseNewRequests();
        return isIdle();
    }

    private boolean isIdle() {
        return mParts.inFlight() == 0;
    }

    private boolean haveLookupsExpired(long leavingSinceNanos) {
        long age = mTimeSource.monotonicNanos() - leavingSinceNanos;
        return age >= mLookupLifetime.plus(LEAVING_PROPAGATION_TIME).toNanos();
    }

    private void record(String event) {
        mTimeline.record(TimelinePart.PROCESS, event, "", "", "");
    }

    /**
     * State and the time at which it began to leave, published together: a reader never sees the
     * one without the other.
     *
     * @param state the state
     * @param leavingSinceNanos the monotonic time of the beginning of the drain, in nanoseconds;
     *     without meaning while the instance is serving
     */
    private record Progress(DrainState state, long leavingSinceNanos) {}
}
