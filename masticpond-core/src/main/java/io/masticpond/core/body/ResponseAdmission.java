package io.masticpond.core.body;

import java.util.LinkedHashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Admission of the responses of backend servers to a {@link BodyBudget}. A response without room
 * waits unread, in the order of the heads. A response that is larger than the part of a connection
 * lets all others go first. Confined to the thread of the budget.
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
    private long mHeldBytes;
    private long mWaitingBytes;
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
        return !mWaiting.isEmpty() || !mWaitingLarge.isEmpty();
    }

    /**
     * Returns the number of responses that wait for room.
     *
     * @return the count
     */
    public int waiting() {
        return mWaiting.size() + mWaitingLarge.size();
    }

    /**
     * Lets responses that a server would abort soon use all of the budget. To be called {@link
     * #URGENT_NANOS} after a response began to wait.
     *
     * @param nowNanos the current monotonic time
     */
    public void admitUrgent(long nowNanos) {
        mWaiting.forEach(each -> each.updateUrgency(nowNanos));
        mWaitingLarge.forEach(each -> each.updateUrgency(nowNanos));
        mBudget.onReleased();
    }

    long held() {
        return mHeldBytes;
    }

    void add(long bytes) {
        mHeldBytes += bytes;
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
        boolean isLarge = response.wanted() > mBudget.settings().connectionBytes();
        (isLarge ? mWaitingLarge : mWaiting).add(response);
        mWaitingBytes += response.held();
        mBudget.exhausted(BodyDirection.RESPONSES);
        admitWaiting();
    }

    void stopWaiting(ResponseBytes response) {
        mWaitingBytes -= response.held();
        mWaiting.remove(response);
        mWaitingLarge.remove(response);
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

    /** Returns the next response to read, or null if none of those that wait fits. */
    private ResponseBytes next() {
        boolean isBlocked = false;
        for (ResponseBytes each : mWaiting) {
            if (isBlocked && !each.isUrgent()) {
                break;
            }
            if (fits(each)) {
                return each;
            }
            isBlocked = true;
        }
        for (ResponseBytes each : mWaitingLarge) {
            if (isBlocked && !each.isUrgent()) {
                break;
            }
            if (fits(each)) {
                return each;
            }
            isBlocked = true;
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
        if (response.isUrgent()) {
            return mBudget.held() + bytes <= settings.totalBytes();
        }
        return mHeldBytes + bytes <= settings.directionBytes() && bytes <= mBudget.commonRoom();
    }
}
