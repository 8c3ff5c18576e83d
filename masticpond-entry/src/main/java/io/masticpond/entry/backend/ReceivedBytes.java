package io.masticpond.entry.backend;

/**
 * Count of the bytes that a server sends during one exchange. It bounds those outside the bodies,
 * which are parsed or skipped without being held, and the sum of all.
 */
final class ReceivedBytes {

    /** Limit of a head, and of trailers. */
    static final int MAXIMUM_HEADER_BYTES = 65_536;

    /** Limit outside the bodies: a head, trailers, and as much for interim and late answers. */
    static final int MAXIMUM_FRAMING_BYTES = 3 * MAXIMUM_HEADER_BYTES;

    /** Size and line ends of a chunk without extensions. */
    private static final int CHUNK_FRAMING_BYTES = 16;

    private final long mMaximumBytes;
    private long mBytes;
    private long mBodyBytes;
    private long mBodyParts;

    /**
     * Creates a count of zero.
     *
     * @param maximumAnswerBytes the limit of the body of an answer
     */
    ReceivedBytes(long maximumAnswerBytes) {
        mMaximumBytes = maximumAnswerBytes + MAXIMUM_FRAMING_BYTES;
    }

    void received(int bytes) {
        mBytes += bytes;
    }

    /** Records bytes of a body, whether it is held or skipped. */
    void bodyDecoded(int bytes) {
        mBodyBytes += bytes;
        mBodyParts++;
    }

    long count() {
        return mBytes;
    }

    /** Returns whether the server sent more than any answer may have. */
    boolean isLimitExceeded() {
        long framingBytes = mBytes - mBodyBytes;
        return mBytes > mMaximumBytes
                || framingBytes > MAXIMUM_FRAMING_BYTES + mBodyParts * CHUNK_FRAMING_BYTES;
    }
}
