package io.masticpond.entry.lifecycle;

import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Sequence of steps that stops this instance without failing a request.
 *
 * <p>First this instance announces that it leaves and continues to serve, with each answer closing
 * its connection, for clients that were given its address shortly before. Then it accepts no more
 * connections and finishes its open requests. It ends once nothing is open, and at the latest
 * shortly before it would be killed; a request that is then unfinished is answered truthfully.
 * {@link #begin} and the scheduled work run on the thread of the runner; the phase may be read from
 * any thread.
 *
 * @since 0.2
 */
public final class PlannedStop {

    /**
     * Phase of a planned stop.
     *
     * @since 0.2
     */
    public enum Phase {
        /** No stop was requested. */
        SERVING,
        /** Requests are still accepted; each answer closes its connection. */
        LEAVING,
        /** No request is accepted; those accepted before are finished. */
        FINISHING,
        /** The last answers are being sent. */
        ENDING,
        /** The process may end. */
        ENDED
    }

    private static final Logger sLogger = LoggerFactory.getLogger(PlannedStop.class);

    private final StopSettings mSettings;
    private final StopActions mActions;
    private final OpenWork mWork;
    private final DelayedRunner mRunner;
    private final TimeSource mTimeSource;
    private volatile Phase mPhase = Phase.SERVING;
    private long mStartNanos;
    private boolean mAccepting = true;

    /**
     * Creates a planned stop.
     *
     * @param settings the durations of its parts
     * @param actions the actions that it performs
     * @param work the work that is open
     * @param runner runs its later parts
     * @param timeSource the clocks
     */
    public PlannedStop(
            StopSettings settings,
            StopActions actions,
            OpenWork work,
            DelayedRunner runner,
            TimeSource timeSource) {
        mSettings = settings;
        mActions = actions;
        mWork = work;
        mRunner = runner;
        mTimeSource = timeSource;
    }

    /** Begins the stop; further calls have no effect. */
    public void begin() {
        if (mPhase != Phase.SERVING) {
            return;
        }
        mPhase = Phase.LEAVING;
        mStartNanos = mTimeSource.monotonicNanos();
        sLogger.info("STOP  This instance is leaving; {} requests are open.", mWork.requests());
        mActions.announceLeaving();
        mActions.withdrawRecord();
        mRunner.after(mSettings.acceptFor(), this::finish);
    }

    /**
     * Returns the phase of the stop.
     *
     * @return the phase
     */
    public Phase phase() {
        return mPhase;
    }

    /**
     * Returns whether a stop was requested. The instance is then not ready, and each answer closes
     * its connection.
     *
     * @return whether a stop was requested
     */
    public boolean isStopping() {
        return mPhase != Phase.SERVING;
    }

    private void finish() {
        mPhase = Phase.FINISHING;
        mActions.stopAccepting(this::onAcceptingStopped);
        mActions.closeIdleConnections();
        check();
    }

    private void onAcceptingStopped() {
        mAccepting = false;
        sLogger.info(
                "STOP  Accepting ended {} ms after the stop began: {} requests and {} connections"
                        + " are open.",
                elapsed().toMillis(),
                mWork.requests(),
                mWork.connections());
    }

    private void check() {
        Duration remaining = mSettings.endBy().minus(elapsed());
        if (!mAccepting && !isWorkOpen() && !mWork.isWithdrawalPending()) {
            end();
        } else if (remaining.toNanos() <= 0) {
            mPhase = Phase.ENDING;
            sLogger.warn(
                    "STOP  {} unfinished requests are answered at the deadline.", mWork.requests());
            mActions.answerUnfinished(() -> mRunner.after(mSettings.flushFor(), this::end));
        } else {
            Duration interval = mSettings.checkEvery();
            mRunner.after(remaining.compareTo(interval) < 0 ? remaining : interval, this::check);
        }
    }

    /** Returns whether work is open; once accepting has stopped, none is added. */
    private boolean isWorkOpen() {
        return mWork.requests() > 0 || mWork.connections() > 0;
    }

    private void end() {
        mPhase = Phase.ENDED;
        sLogger.info(
                "STOP  This instance ends {} ms after the stop began: {} requests and {}"
                        + " connections are open.",
                elapsed().toMillis(),
                mWork.requests(),
                mWork.connections());
        mActions.exit();
    }

    private Duration elapsed() {
        return Duration.ofNanos(mTimeSource.monotonicNanos() - mStartNanos);
    }
}
