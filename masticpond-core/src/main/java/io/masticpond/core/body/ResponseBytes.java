package io.masticpond.core.body;

/**
 * Bytes that one response holds of a {@link BodyBudget}, from its head until the client has read
 * it. Confined to the thread of the budget.
 *
 * @since 0.3
 */
public final class ResponseBytes {

    /**
     * Bytes by which the reservation of a response without a stated length grows. One read from a
     * socket returns at most as much.
     */
    private static final long STEP_BYTES = 64 * 1024;

    private final ResponseAdmission mAdmission;
    private final long mStatedBytes;
    private final Runnable mResumeAction;
    private long mReservedBytes;
    private long mReceivedBytes;
    private long mWaitingSinceNanos;
    private boolean mIsWaiting;
    private boolean mIsUrgent;
    private boolean mIsReleased;

    ResponseBytes(ResponseAdmission admission, long statedBytes, Runnable resumeAction) {
        mAdmission = admission;
        mStatedBytes = statedBytes;
        mResumeAction = resumeAction;
    }

    /**
     * Returns whether reading must stop until the resume action runs.
     *
     * @return whether the response waits for room
     */
    public boolean isWaiting() {
        return mIsWaiting;
    }

    /**
     * Records bytes of the body that were read. They are held even if they exceed the reservation,
     * because they are in memory already.
     *
     * @param bytes the number of bytes
     * @param nowNanos the current monotonic time
     */
    public void received(long bytes, long nowNanos) {
        long before = held();
        mReceivedBytes += bytes;
        if (mIsReleased) {
            return;
        }
        mAdmission.add(this, held() - before);
        if (mIsWaiting) {
            mAdmission.addWaiting(held() - before);
        } else if (mStatedBytes < 0 && mReceivedBytes > mReservedBytes) {
            reserve(nowNanos);
        }
    }

    /** Records that the response is complete: it holds what was received and waits no longer. */
    public void complete() {
        if (mIsReleased) {
            return;
        }
        long before = held();
        stopWaiting();
        mReservedBytes = 0;
        mAdmission.add(this, held() - before);
        mAdmission.onReleased();
    }

    /** Releases all bytes; further calls have no effect. */
    public void release() {
        if (mIsReleased) {
            return;
        }
        stopWaiting();
        mIsReleased = true;
        mAdmission.add(this, -held());
        mAdmission.onReleased();
    }

    /** Reserves the bytes that are wanted next, or begins to wait. */
    void reserve(long nowNanos) {
        boolean isSmall = wanted() <= BodyBudget.SMALL_BODY_BYTES;
        if (isSmall || mAdmission.isAdmittedAtOnce(this)) {
            take();
            return;
        }
        mIsWaiting = true;
        mWaitingSinceNanos = nowNanos;
        mAdmission.wait(this);
    }

    void admit() {
        stopWaiting();
        take();
        mResumeAction.run();
    }

    void updateUrgency(long nowNanos) {
        mIsUrgent |= nowNanos - mWaitingSinceNanos >= ResponseAdmission.URGENT_NANOS;
    }

    /** Returns whether the head of the response stated no length. */
    boolean isUnstated() {
        return mStatedBytes < 0;
    }

    boolean isUrgent() {
        return mIsUrgent;
    }

    long held() {
        return Math.max(mReservedBytes, mReceivedBytes);
    }

    /** Returns the bytes of which this response must hold a reservation to be read on. */
    long wanted() {
        if (mStatedBytes >= 0) {
            return mStatedBytes;
        }
        return mReceivedBytes < BodyBudget.SMALL_BODY_BYTES
                ? BodyBudget.SMALL_BODY_BYTES
                : mReceivedBytes + STEP_BYTES;
    }

    private void take() {
        long before = held();
        mReservedBytes = Math.max(mReservedBytes, wanted());
        mAdmission.add(this, held() - before);
    }

    private void stopWaiting() {
        if (mIsWaiting) {
            mAdmission.stopWaiting(this);
            mIsWaiting = false;
            mIsUrgent = false;
        }
    }
}
