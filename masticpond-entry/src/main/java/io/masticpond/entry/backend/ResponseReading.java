package io.masticpond.entry.backend;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.ResponseAdmission;
import io.masticpond.core.body.ResponseBytes;
import io.masticpond.core.time.TimeSource;
import io.netty.channel.Channel;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * Reading of one response from a connection, which stops while the response waits for room in the
 * body budget. Confined to the traffic thread.
 */
final class ResponseReading {

    private final BodyBudget mBudget;
    private final TimeSource mTimeSource;
    private final Channel mChannel;
    private ResponseBytes mBytes;
    private Future<?> mUrgencyTimer;
    private boolean mIsPaused;

    ResponseReading(BodyBudget budget, TimeSource timeSource, Channel channel) {
        mBudget = budget;
        mTimeSource = timeSource;
        mChannel = channel;
    }

    /**
     * Reserves the stated length of the body, or stops reading until it fits.
     *
     * @param statedBytes the length, or {@link ResponseAdmission#UNSTATED}
     */
    void begin(long statedBytes) {
        mBytes = mBudget.responses().begin(statedBytes, nowNanos(), this::resume);
        pauseIfWaiting();
    }

    /** Records bytes of the body that were read. */
    void received(int bytes) {
        mBytes.received(bytes, nowNanos());
        pauseIfWaiting();
    }

    /** Returns whether reading is stopped for lack of room. */
    boolean isPaused() {
        return mIsPaused;
    }

    /** Returns the bytes that the response holds. */
    ResponseBytes bytes() {
        return mBytes;
    }

    /** Records that the response is complete; its bytes are held until they are released. */
    void complete() {
        mBytes.complete();
        resume();
    }

    /** Discards the response. */
    void release() {
        if (mBytes != null) {
            mBytes.release();
        }
        stopTimer();
    }

    private void pauseIfWaiting() {
        if (mIsPaused || !mBytes.isWaiting()) {
            return;
        }
        mIsPaused = true;
        mChannel.config().setAutoRead(false);
        mUrgencyTimer =
                mChannel.eventLoop()
                        .schedule(
                                () -> mBudget.responses().admitUrgent(nowNanos()),
                                ResponseAdmission.URGENT_NANOS,
                                TimeUnit.NANOSECONDS);
    }

    private void resume() {
        if (!mIsPaused) {
            return;
        }
        mIsPaused = false;
        stopTimer();
        mChannel.config().setAutoRead(true);
    }

    private void stopTimer() {
        if (mUrgencyTimer != null) {
            mUrgencyTimer.cancel(false);
            mUrgencyTimer = null;
        }
    }

    private long nowNanos() {
        return mTimeSource.monotonicNanos();
    }
}
