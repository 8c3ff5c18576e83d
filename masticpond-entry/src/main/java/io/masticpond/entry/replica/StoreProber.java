package io.masticpond.entry.replica;

import io.masticpond.core.time.TimeSource;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * Prober that checks whether the store still answers while all watches are held, and whether a lost
 * store is reachable again. Confined to the control thread.
 */
final class StoreProber {

    private final StoreProbe mProbe;
    private final StoreHealth mHealth;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReplicaSettings mSettings;
    private final RetryDelays mRetries;
    private final Runnable mOnCheck;
    private int mCall;
    private int mFailures;
    private boolean mIdle;
    private Runnable mTimer = () -> {};

    /**
     * Creates a prober.
     *
     * @param context the clocks and times
     * @param probe the call to make
     * @param health records the outcome of the calls
     * @param onCheck runs at each check while the store is not lost
     */
    StoreProber(ReplicaContext context, StoreProbe probe, StoreHealth health, Runnable onCheck) {
        mProbe = probe;
        mHealth = health;
        mOnCheck = onCheck;
        mScheduler = context.scheduler();
        mTime = context.time();
        mSettings = context.settings();
        ReplicaSettings.Calls calls = mSettings.calls();
        mRetries = new RetryDelays(calls.firstRetry(), calls.lastRetry(), context.random());
    }

    /** Starts periodic checks. */
    void start() {
        schedule(mSettings.outage().checkEvery(), this::check);
    }

    /** Stops all checks. */
    void stop() {
        mCall++;
        mTimer.run();
    }

    /**
     * Sets whether other instances watch the store for this one, so that its answers are not
     * needed.
     *
     * @param idle whether to skip probes while the store is not lost
     */
    void setIdle(boolean idle) {
        mIdle = idle;
    }

    /** Probes at once, and repeatedly from now on, since the store is lost. */
    void probeNow() {
        mFailures = 0;
        check();
    }

    private void check() {
        if (!mHealth.isLost()) {
            mOnCheck.run();
        }
        Duration every = mSettings.outage().checkEvery();
        boolean hasRecentSuccess =
                mTime.monotonicNanos() - mHealth.succeededNanos() < every.toNanos();
        boolean isNeeded = mHealth.isLost() || (mProbe.isCheap() && !hasRecentSuccess && !mIdle);
        if (!isNeeded) {
            schedule(every, this::check);
            return;
        }
        Duration timeout = mSettings.calls().callTimeout();
        int call = ++mCall;
        long startNanos = mTime.monotonicNanos();
        schedule(timeout.multipliedBy(2), () -> complete(call, startNanos, false));
        mProbe.probe(timeout, result -> probeCompleted(call, startNanos, result));
    }

    private void probeCompleted(int call, long startNanos, Either<FeedError, Void> result) {
        complete(call, startNanos, result.isRight());
    }

    private void complete(int call, long startNanos, boolean isAnswered) {
        if (call != mCall) {
            return;
        }
        mCall++;
        if (isAnswered) {
            mFailures = 0;
            schedule(mSettings.outage().checkEvery(), this::check);
            mHealth.succeeded();
            return;
        }
        mFailures++;
        long elapsedNanos = mTime.monotonicNanos() - startNanos;
        boolean hasTimedOut = elapsedNanos >= mSettings.calls().callTimeout().toNanos();
        // A call that timed out was a pause in itself; a longer one would only delay detecting the
        // recovery.
        schedule(hasTimedOut ? Duration.ZERO : mRetries.after(mFailures), this::check);
        mHealth.failed(startNanos);
    }

    private void schedule(Duration delay, Runnable task) {
        mTimer.run();
        mTimer = mScheduler.schedule(delay, task);
    }
}
