package io.masticpond.entry.replica;

import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Detector of store outages based on the outcome of calls. Confined to the control thread. */
final class StoreHealth {

    private static final Logger sLogger = LoggerFactory.getLogger(StoreHealth.class);

    private final TimeSource mTime;
    private final Scheduler mScheduler;
    private final Duration mLostAfter;
    private final List<StoreListener> mListeners = new ArrayList<>();
    private boolean mFailing;
    private boolean mLost;
    private long mSinceNanos;
    private long mSucceededNanos;
    private Runnable mTimer = () -> {};

    /**
     * Creates a detector in the healthy state.
     *
     * @param time the clocks
     * @param scheduler runs the timer
     * @param lostAfter how long the store must have failed to be considered lost
     */
    StoreHealth(TimeSource time, Scheduler scheduler, Duration lostAfter) {
        mTime = time;
        mScheduler = scheduler;
        mLostAfter = lostAfter;
        mSinceNanos = time.monotonicNanos();
        mSucceededNanos = mSinceNanos;
    }

    void addListener(StoreListener listener) {
        mListeners.add(listener);
    }

    boolean isLost() {
        return mLost;
    }

    /**
     * Returns the monotonic time since which calls have failed, or have succeeded after failures.
     */
    long sinceNanos() {
        return mSinceNanos;
    }

    boolean isFailing() {
        return mFailing;
    }

    long succeededNanos() {
        return mSucceededNanos;
    }

    /** Records that the store has answered a call. */
    void succeeded() {
        mSucceededNanos = mTime.monotonicNanos();
        if (!mFailing) {
            return;
        }
        Duration outage = Duration.ofNanos(mSucceededNanos - mSinceNanos);
        mTimer.run();
        mFailing = false;
        mSinceNanos = mSucceededNanos;
        if (!mLost) {
            return;
        }
        mLost = false;
        sLogger.info("STORE  regained after {} ms", outage.toMillis());
        mListeners.forEach(listener -> listener.storeRegained(outage));
    }

    /**
     * Records that a call has failed.
     *
     * @param sinceNanos the monotonic time from which the store did not answer
     */
    void failed(long sinceNanos) {
        if (mFailing) {
            return;
        }
        mFailing = true;
        mSinceNanos = sinceNanos;
        long leftNanos = mLostAfter.toNanos() - (mTime.monotonicNanos() - sinceNanos);
        mTimer = mScheduler.schedule(Duration.ofNanos(Math.max(0, leftNanos)), this::markLost);
    }

    private void markLost() {
        if (!mFailing || mLost) {
            return;
        }
        mLost = true;
        sLogger.warn("STORE  lost");
        mListeners.forEach(StoreListener::storeLost);
    }
}
