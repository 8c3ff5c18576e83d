package io.masticpond.entry.http;

import io.masticpond.core.support.Assert;

/**
 * Budget that limits the request bytes that a server buffers for all of its connections together.
 *
 * @since 0.2
 */
final class ByteBudget {

    private final long mLimit;
    private long mUsed;

    ByteBudget(long limit) {
        mLimit = Assert.positive(limit, "A bound of buffered bytes");
    }

    /** Returns whether the given number of bytes could be reserved now. */
    boolean hasRoomFor(long bytes) {
        return bytes <= mLimit - mUsed;
    }

    /** Reserves bytes, or none at all if they exceed the limit. */
    boolean tryReserve(long bytes) {
        if (!hasRoomFor(bytes)) {
            return false;
        }
        mUsed += bytes;
        return true;
    }

    /** Releases reserved bytes. */
    void release(long bytes) {
        mUsed -= bytes;
        Assert.isTrue(mUsed >= 0, "More bytes were released than reserved: %d.", -mUsed);
    }

    long used() {
        return mUsed;
    }
}
