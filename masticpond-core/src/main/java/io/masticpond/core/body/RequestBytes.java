package io.masticpond.core.body;

/**
 * Bytes that one request holds of a {@link BodyBudget}, from the reservation until the request is
 * answered. Confined to the thread of the budget.
 *
 * @since 0.3
 */
public final class RequestBytes {

    private final BodyBudget mBudget;
    private final ClientBytes mClient;
    private long mCommonBytes;
    private long mReserveBytes;

    RequestBytes(BodyBudget budget, ClientBytes client) {
        mBudget = budget;
        mClient = client;
    }

    /**
     * Tries to reserve further bytes.
     *
     * @param bytes the number of bytes
     * @param isSmall whether the body is small as far as it is known, so that the reserve for small
     *     bodies may be used
     * @return the result; bytes are reserved only if it is {@link RequestReservation#RESERVED}
     */
    public RequestReservation tryReserve(long bytes, boolean isSmall) {
        if (isSmall && mBudget.tryTakeReserve(bytes)) {
            mReserveBytes += bytes;
            mClient.add(bytes);
            return RequestReservation.RESERVED;
        }
        boolean holdsOthers = mClient.held() > held();
        if (holdsOthers && mClient.held() + bytes > mBudget.settings().connectionBytes()) {
            return RequestReservation.CONNECTION_FULL;
        }
        if (!mBudget.tryTakeForRequest(bytes, mCommonBytes)) {
            return RequestReservation.EXHAUSTED;
        }
        mCommonBytes += bytes;
        mClient.add(bytes);
        return RequestReservation.RESERVED;
    }

    /**
     * Returns the bytes held.
     *
     * @return the number of bytes
     */
    public long held() {
        return mCommonBytes + mReserveBytes;
    }

    /** Releases all bytes; has no effect if none are held. */
    public void release() {
        if (held() == 0) {
            return;
        }
        long common = mCommonBytes;
        long reserve = mReserveBytes;
        mClient.add(-held());
        mCommonBytes = 0;
        mReserveBytes = 0;
        mBudget.releaseRequest(common, reserve);
    }
}
