package io.masticpond.entry.http;

/**
 * State of a connection from which is not read for lack of room in the body budget: until earlier
 * requests of the connection have ended, or until the budget has room, but then not for longer than
 * the header timeout. Confined to the traffic thread.
 */
final class RoomWait {

    private static final long UNSET = Long.MIN_VALUE;

    private final EntryConnections mConnections;
    private final Runnable mRoomHandler;
    private boolean mIsBlocked;
    private boolean mIsRegistered;
    private long mExhaustedSinceNanos = UNSET;

    /**
     * Creates the state of a connection that is read.
     *
     * @param connections the connections
     * @param roomHandler runs on the traffic thread once the budget has room
     */
    RoomWait(EntryConnections connections, Runnable roomHandler) {
        mConnections = connections;
        mRoomHandler = roomHandler;
    }

    /** Records that reading is tried again; a time without room goes on. */
    void beginRead() {
        mIsBlocked = false;
    }

    /** Records that bytes could be read. */
    void progressed() {
        mExhaustedSinceNanos = UNSET;
    }

    /** Records that reading must stop, because the budget is exhausted or the connection's part. */
    void block(boolean isExhausted) {
        mIsBlocked = true;
        if (!isExhausted) {
            mExhaustedSinceNanos = UNSET;
            return;
        }
        if (mExhaustedSinceNanos == UNSET) {
            mExhaustedSinceNanos = mConnections.nowNanos();
            mConnections.scheduleCheckWithin(timeoutNanos());
        }
        if (!mIsRegistered) {
            mIsRegistered = true;
            mConnections.budget().onRequestRoom(() -> mConnections.execute(this::onRoom));
        }
    }

    boolean isBlocked() {
        return mIsBlocked;
    }

    /** Returns whether reading is stopped for a limited time. */
    boolean isTimed() {
        return mIsBlocked && mExhaustedSinceNanos != UNSET;
    }

    /** Returns the nanoseconds until the request is refused. */
    long remainingNanos(long nowNanos) {
        return timeoutNanos() - (nowNanos - mExhaustedSinceNanos);
    }

    private long timeoutNanos() {
        return mConnections.limits().headerTimeout().toNanos();
    }

    private void onRoom() {
        mIsRegistered = false;
        if (mIsBlocked) {
            mRoomHandler.run();
        }
    }
}
