package io.masticpond.core.body;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Admission of the responses of backend servers to a {@link BodyBudget}. A response without room
 * waits unread, in the order of the heads. A response that is larger than the part of a connection
 * lets all others go first. If its head stated no length it may never end: a large one is read only
 * while half of the room is free or all others wait, and responses whose heads stated their lengths
 * always have that half. Confined to the thread of the budget.
 *
 * @since 0.3
 */
public final class ResponseAdmission {

    /**
     * Time after which a waiting response may use all of the budget. A server aborts a response
     * that was left unread for 2 s; the difference covers the round trip and a busy thread.
     */
    public static final long URGENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Length of a response whose head states none. */
    public static final long UNSTATED = -1;

    private final BodyBudget mBudget;
    private final Set<ResponseBytes> mWaiting = new LinkedHashSet<>();
    private final Set<ResponseBytes> mWaitingLarge = new LinkedHashSet<>();

    /** Large responses whose heads stated no length. */
    private final Set<ResponseBytes> mWaitingUnstated = new LinkedHashSet<>();

    private final List<Set<ResponseBytes>> mQueues =
            List.of(mWaiting, mWaitingLarge, mWaitingUnstated);
    private long mHeldBytes;
    private long mWaitingBytes;
    private long mUnstatedBytes;
    private boolean mIsAdmitting;

    ResponseAdmission(BodyBudget budget) {
        mBudget = budget;
    }

    /**
     * Begins a response whose head has been received. Reserves its stated length, or lets it wait.
     *
     * @param statedBytes the length of the body, or {@link #UNSTATED}
     * @param nowNanos the current monotonic time
     * @param resumeAction runs each time reading may continue after the response waited; must not
     *     change the budget
     * @return the account of the response, which must be released in the end
     */
    public ResponseBytes begin(long statedBytes, long nowNanos, Runnable resumeAction) {
        ResponseBytes response = new ResponseBytes(this, statedBytes, resumeAction);
        response.reserve(nowNanos);
        return response;
    }

    /**
     * Returns whether any response waits for room.
     *
     * @return whether reading of a response is stopped
     */
    public boolean isAnyWaiting() {
        return waiting() > 0;
    }

    /**
     * Returns the number of responses that wait for room.
     *
     * @return the count
     */
    public int waiting() {
        return mWaiting.size() + mWaitingLarge.size() + mWaitingUnstated.size();
    }

    /**
     * Lets responses that a server would abort soon use all of the budget. To be called {@link
     * #URGENT_NANOS} after a response began to wait.
     *
     * @param nowNanos the current monotonic time
     */
    public void admitUrgent(long nowNanos) {
        mQueues.forEach(queue -> queue.forEach(each -> each.updateUrgency(nowNanos)));
        mBudget.onReleased();
    }

    long held() {
        return mHeldBytes;
    }

    /**
     * Returns the bytes held that count for bodies of a stated length: of those without one, half
     * of the room at most.
     */
    long charged() {
        return mHeldBytes - Math.max(0, mUnstatedBytes - halfOfRoom());
    }

    /** Records a change of the bytes that a response holds. */
    void add(ResponseBytes response, long bytes) {
        mHeldBytes += bytes;
        if (response.isUnstated()) {
            mUnstatedBytes += bytes;
        }
    }

    /** Returns whether the response fits now, so that it needs not wait. */
    boolean isAdmittedAtOnce(ResponseBytes response) {
        return !isAnyWaiting() && fits(response);
    }

    /**
     * Adds a response that waits. Another one is admitted at once if this was the last response
     * that was being read.
     */
    void wait(ResponseBytes response) {
        queueOf(response).add(response);
        mWaitingBytes += response.held();
        mBudget.exhausted(BodyDirection.RESPONSES);
        admitWaiting();
    }

    void stopWaiting(ResponseBytes response) {
        mWaitingBytes -= response.held();
        mQueues.forEach(queue -> queue.remove(response));
    }

    /** Records bytes of a waiting response that were in the same read as its head. */
    void addWaiting(long bytes) {
        mWaitingBytes += bytes;
    }

    void onReleased() {
        mBudget.onReleased();
    }

    void admitWaiting() {
        if (mIsAdmitting) {
            return;
        }
        mIsAdmitting = true;
        try {
            for (ResponseBytes next = next(); next != null; next = next()) {
                next.admit();
            }
        } finally {
            mIsAdmitting = false;
        }
    }

    private Set<ResponseBytes> queueOf(ResponseBytes response) {
        if (!isLarge(response)) {
            return mWaiting;
        }
        return response.isUnstated() ? mWaitingUnstated : mWaitingLarge;
    }

    private boolean isLarge(ResponseBytes response) {
        return response.wanted() > mBudget.settings().connectionBytes();
    }

    /** Returns the next response to read, or null if none of those that wait fits. */
    private ResponseBytes next() {
        boolean isBlocked = false;
        for (Set<ResponseBytes> queue : mQueues) {
            for (ResponseBytes each : queue) {
                if (isBlocked && !each.isUrgent()) {
                    break;
                }
                if (fits(each)) {
                    return each;
                }
                isBlocked = true;
            }
        }
        return null;
    }

    /**
     * Determines whether a response fits. One always fits if all other bytes belong to responses
     * that wait, as no release can be expected then.
     */
    private boolean fits(ResponseBytes response) {
        if (mHeldBytes - mWaitingBytes <= (response.isWaiting() ? 0 : response.held())) {
            return true;
        }
        long bytes = response.wanted() - response.held();
        BodyBudgetSettings settings = mBudget.settings();
        if (response.isUnstated() && isLarge(response)) {
            return mHeldBytes + bytes <= halfOfRoom() && bytes <= mBudget.commonRoom();
        }
        long held = response.isUnstated() ? mHeldBytes : charged();
        if (response.isUrgent()) {
            return mBudget.held(BodyDirection.REQUESTS) + held + bytes <= settings.totalBytes();
        }
        return held + bytes <= settings.directionBytes() && bytes <= mBudget.commonRoom();
    }

    private long halfOfRoom() {
        return mBudget.settings().directionBytes() / 2;
    }
}
