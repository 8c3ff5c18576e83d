package io.masticpond.entry.lifecycle;

import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Leaves without breaking a request.
 *
 * <p>First this instance tells that it leaves and goes on serving, each answer ending its
 * connection, for clients that were told of it a moment ago. Then it takes no more connections and
 * finishes what it has. It ends once nothing is open, and shortly before it would be killed at the
 * latest; what is unfinished then is answered truthfully. {@link #begin} and the work run on the
 * thread of the runner; the phase may be read by any.
 *
 * @since 0.2
 */
public final class PlannedStop {

    /**
     * How far a stop is.
     *
     * @since 0.2
     */
    public enum Phase {
        /** No stop is wanted. */
        SERVING,
        /** Requests are still taken; each answer ends its connection. */
        LEAVING,
        /** No request is taken; those taken before are finished. */
        FINISHING,
        /** The last answers leave. */
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
    private long mBegan;

    /**
     * Prepares a stop.
     *
     * @param settings how long its parts may take
     * @param actions what it does
     * @param work what is open
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

    /** Begins the stop; a second wish changes nothing. */
    public void begin() {
        if (mPhase != Phase.SERVING) {
            return;
        }
        mPhase = Phase.LEAVING;
        mBegan = mTimeSource.monotonicNanos();
        sLogger.info("STOP  This instance leaves; {} requests are open.", mWork.requests());
        mActions.announceLeaving();
        mActions.withdrawRecord();
        mRunner.after(mSettings.acceptFor(), this::finish);
    }

    /**
     * Tells how far the stop is.
     *
     * @return the phase
     */
    public Phase phase() {
        return mPhase;
    }

    /**
     * Tells whether a stop is wanted: not ready, and each answer ends its connection.
     *
     * @return whether it is
     */
    public boolean isStopping() {
        return mPhase != Phase.SERVING;
    }

    private void finish() {
        mPhase = Phase.FINISHING;
        mActions.stopAccepting();
        mActions.closeIdleConnections();
        check();
    }

    private void check() {
        Duration elapsed = Duration.ofNanos(mTimeSource.monotonicNanos() - mBegan);
        Duration left = mSettings.endBy().minus(elapsed);
        if (mWork.requests() == 0 && mWork.connections() == 0 && !mWork.isWithdrawalPending()) {
            end(elapsed);
        } else if (left.toNanos() <= 0) {
            mPhase = Phase.ENDING;
            sLogger.warn("STOP  {} requests are answered unfinished.", mWork.requests());
            mActions.answerUnfinished();
            mRunner.after(mSettings.flushFor(), () -> end(elapsed.plus(mSettings.flushFor())));
        } else {
            Duration every = mSettings.checkEvery();
            mRunner.after(left.compareTo(every) < 0 ? left : every, this::check);
        }
    }

    private void end(Duration elapsed) {
        mPhase = Phase.ENDED;
        sLogger.info("STOP  This instance ends after {} ms.", elapsed.toMillis());
        mActions.exit();
    }
}
