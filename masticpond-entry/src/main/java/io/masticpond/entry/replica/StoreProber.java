package io.masticpond.entry.replica;

import io.masticpond.core.time.TimeSource;
import io.vavr.control.Either;
import java.time.Duration;

/**
 * Looks whether the store still answers while all calls wait, and whether it is back when it was
 * lost. For the control thread.
 */
final class StoreProber {

    private final StoreProbe mProbe;
    private final StoreHealth mHealth;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReplicaSettings mSettings;
    private final RetryDelays mRetries;
    private final Runnable mOnLook;
    private int mCall;
    private int mFailures;
    private boolean mIdle;
    private Runnable mTimer = () -> {};

    /**
     * Makes a scout.
     *
     * @param context the clocks and times
     * @param probe the call to make
     * @param health hears how the calls end
     * @param onLook runs now and then while the store is not lost
     */
    StoreProber(ReplicaContext context, StoreProbe probe, StoreHealth health, Runnable onLook) {
        mProbe = probe;
        mHealth = health;
        mOnLook = onLook;
        mScheduler = context.scheduler();
        mTime = context.time();
        mSettings = context.settings();
        ReplicaSettings.Calls calls = mSettings.calls();
        mRetries = new RetryDelays(calls.firstRetry(), calls.lastRetry(), context.random());
    }

    /** Looks now and then from now on. */
    void start() {
        schedule(mSettings.outage().checkEvery(), this::look);
    }

    /** Makes no further call. */
    void stop() {
        mCall++;
        mTimer.run();
    }

    /**
     * Says whether others watch the store for this instance, so that its answers do not matter.
     *
     * @param quiet whether to make no call while the store is not lost
     */
    void setIdle(boolean quiet) {
        mIdle = quiet;
    }

    /** Looks at once, and often from now on, since the store is lost. */
    void probeNow() {
        mFailures = 0;
        look();
    }

    private void look() {
        if (!mHealth.isLost()) {
            mOnLook.run();
        }
        Duration every = mSettings.outage().checkEvery();
        boolean wasHeard = mTime.monotonicNanos() - mHealth.succeededNanos() < every.toNanos();
        boolean isNeeded = mHealth.isLost() || (mProbe.isCheap() && !wasHeard && !mIdle);
        if (!isNeeded) {
            schedule(every, this::look);
            return;
        }
        Duration timeout = mSettings.calls().callTimeout();
        int call = ++mCall;
        long startNanos = mTime.monotonicNanos();
        schedule(timeout.multipliedBy(2), () -> end(call, startNanos, false));
        mProbe.probe(timeout, result -> ended(call, startNanos, result));
    }

    private void ended(int call, long startNanos, Either<FeedError, Void> result) {
        end(call, startNanos, result.isRight());
    }

    private void end(int call, long startNanos, boolean isAnswered) {
        if (call != mCall) {
            return;
        }
        mCall++;
        if (isAnswered) {
            mFailures = 0;
            schedule(mSettings.outage().checkEvery(), this::look);
            mHealth.succeeded();
            return;
        }
        mFailures++;
        long heldNanos = mTime.monotonicNanos() - startNanos;
        boolean wasSilent = heldNanos >= mSettings.calls().callTimeout().toNanos();
        // A silent call has been a pause in itself; a longer one only hides the store's return.
        schedule(wasSilent ? Duration.ZERO : mRetries.after(mFailures), this::look);
        mHealth.failed(startNanos);
    }

    private void schedule(Duration delay, Runnable task) {
        mTimer.run();
        mTimer = mScheduler.schedule(delay, task);
    }
}
