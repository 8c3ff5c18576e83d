package io.masticpond.core.body;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.List;

/**
 * Budget that limits the bytes of request and response bodies that an instance holds, by direction
 * and connection.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class BodyBudget {

    /**
     * Largest body that counts as small. Refusing or delaying such a body would free less memory
     * than its connection uses.
     */
    public static final long SMALL_BODY_BYTES = 8 * 1024;

    /** Part of a limit below which a direction counts as free again, so that it does not flap. */
    private static final double FREE_SHARE = 0.9;

    private final ResponseAdmission mResponses = new ResponseAdmission(this);
    private final List<BodyBudgetListener> mListeners = new ArrayList<>();
    private final List<Runnable> mRoomWaiters = new ArrayList<>();
    private BodyBudgetSettings mSettings;
    private long mRequestBytes;
    private long mReserveBytes;
    private long mRefusals;
    private boolean mAreRequestsExhausted;
    private boolean mAreResponsesExhausted;

    /**
     * Creates a budget of which nothing is held.
     *
     * @param settings the limits
     */
    public BodyBudget(BodyBudgetSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of a body budget");
    }

    /**
     * Replaces the limits. Bytes that are held already are kept even if they exceed the new limits.
     *
     * @param settings the limits
     */
    public void applySettings(BodyBudgetSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of a body budget");
        onReleased();
    }

    /**
     * Adds a listener.
     *
     * @param listener the listener
     */
    public void addListener(BodyBudgetListener listener) {
        mListeners.add(Assert.notNull(listener, "A listener"));
    }

    /**
     * Returns the limits in force.
     *
     * @return the settings
     */
    public BodyBudgetSettings settings() {
        return mSettings;
    }

    /**
     * Returns the account of the responses.
     *
     * @return the admission of responses to this budget
     */
    public ResponseAdmission responses() {
        return mResponses;
    }

    /**
     * Creates the account of a client connection.
     *
     * @return an account without bytes
     */
    public ClientBytes newClient() {
        return new ClientBytes(this);
    }

    /**
     * Returns the bytes held in a direction.
     *
     * @param direction the direction
     * @return the number of bytes
     */
    public long held(BodyDirection direction) {
        return switch (direction) {
            case REQUESTS -> mRequestBytes + mReserveBytes;
            case RESPONSES -> mResponses.held();
        };
    }

    /**
     * Returns the bytes held in both directions.
     *
     * @return the number of bytes
     */
    public long held() {
        return held(BodyDirection.REQUESTS) + held(BodyDirection.RESPONSES);
    }

    /**
     * Returns the number of requests refused for lack of room.
     *
     * @return the count since the start of this instance
     */
    public long refusals() {
        return mRefusals;
    }

    /**
     * Returns whether a body had to wait or was refused for lack of room, and the direction has not
     * been free since.
     *
     * @param direction the direction
     * @return whether the direction is exhausted
     */
    public boolean isExhausted(BodyDirection direction) {
        return direction == BodyDirection.REQUESTS ? mAreRequestsExhausted : mAreResponsesExhausted;
    }

    /** Counts a request that was refused for lack of room. */
    public void recordRefusal() {
        mRefusals++;
    }

    /**
     * Registers an action for the next time that requests have room. It runs once, during a
     * release, so it must not change the budget itself.
     *
     * @param action the action
     */
    public void onRequestRoom(Runnable action) {
        mRoomWaiters.add(action);
    }

    boolean tryTakeReserve(long bytes) {
        if (mReserveBytes + bytes > mSettings.reserveBytes()) {
            return false;
        }
        mReserveBytes += bytes;
        return true;
    }

    /**
     * Reserves bytes outside the reserve. A body that exceeds the limit of the direction fits if no
     * other request holds any, so that it is not refused forever.
     *
     * @param bytes the number of bytes
     * @param ownBytes the bytes that the same request holds
     */
    boolean tryTakeForRequest(long bytes, long ownBytes) {
        boolean isAlone = mRequestBytes == ownBytes;
        long limit = mSettings.directionBytes() - mSettings.reserveBytes();
        if ((mRequestBytes + bytes > limit && !isAlone) || bytes > commonRoom()) {
            exhausted(BodyDirection.REQUESTS);
            return false;
        }
        mRequestBytes += bytes;
        return true;
    }

    void releaseRequest(long commonBytes, long reserveBytes) {
        mRequestBytes -= commonBytes;
        mReserveBytes -= reserveBytes;
        Assert.isTrue(
                mRequestBytes >= 0 && mReserveBytes >= 0,
                "More bytes of requests were released than reserved.");
        onReleased();
    }

    /**
     * Returns the bytes left of the total, without the reserve for small request bodies. Responses
     * count as charged.
     */
    long commonRoom() {
        return mSettings.totalBytes()
                - mSettings.reserveBytes()
                - mRequestBytes
                - mResponses.charged();
    }

    /** Admits what waits for room. Must be called after each release. */
    void onReleased() {
        mResponses.admitWaiting();
        if (!mRoomWaiters.isEmpty() && hasRequestRoom()) {
            List<Runnable> waiters = List.copyOf(mRoomWaiters);
            mRoomWaiters.clear();
            waiters.forEach(Runnable::run);
        }
        if (mAreRequestsExhausted
                && mRoomWaiters.isEmpty()
                && isWellBelowLimit(BodyDirection.REQUESTS)) {
            mAreRequestsExhausted = false;
            mListeners.forEach(each -> notifyFree(each, BodyDirection.REQUESTS));
        }
        if (mAreResponsesExhausted
                && !mResponses.isAnyWaiting()
                && isWellBelowLimit(BodyDirection.RESPONSES)) {
            mAreResponsesExhausted = false;
            mListeners.forEach(each -> notifyFree(each, BodyDirection.RESPONSES));
        }
    }

    void exhausted(BodyDirection direction) {
        boolean isRequests = direction == BodyDirection.REQUESTS;
        boolean wasExhausted = isExhausted(direction);
        mAreRequestsExhausted |= isRequests;
        mAreResponsesExhausted |= !isRequests;
        if (!wasExhausted) {
            long limit = mSettings.directionBytes();
            mListeners.forEach(each -> each.onExhausted(direction, held(direction), limit));
        }
    }

    private void notifyFree(BodyBudgetListener listener, BodyDirection direction) {
        listener.onFree(direction, held(direction), mSettings.directionBytes());
    }

    private boolean hasRequestRoom() {
        long limit = mSettings.directionBytes() - mSettings.reserveBytes();
        return mRequestBytes + SMALL_BODY_BYTES <= limit && commonRoom() >= SMALL_BODY_BYTES
                || mRequestBytes == 0;
    }

    private boolean isWellBelowLimit(BodyDirection direction) {
        return held(direction) <= FREE_SHARE * mSettings.directionBytes()
                && held() <= FREE_SHARE * mSettings.totalBytes();
    }
}
