package io.masticpond.core.body;

/**
 * Bytes that the requests of one client connection hold of a {@link BodyBudget}.
 *
 * @since 0.3
 */
public final class ClientBytes {

    private final BodyBudget mBudget;
    private long mHeldBytes;

    ClientBytes(BodyBudget budget) {
        mBudget = budget;
    }

    /**
     * Creates the account of a further request of the connection.
     *
     * @return an account without bytes
     */
    public RequestBytes newRequest() {
        return new RequestBytes(mBudget, this);
    }

    long held() {
        return mHeldBytes;
    }

    void add(long bytes) {
        mHeldBytes += bytes;
    }
}
