package io.masticpond.core.serverlimit;

/**
 * Statement of a backend server's limit in one answer.
 *
 * <p>Answers on several connections may arrive in another order than the server made them. An
 * answer is certainly newer than another if its request was sent after the other answer had
 * arrived.
 *
 * @param perSecond the limit in requests per second, infinite if the answer stated none
 * @param sentNanos the monotonic time at which the request was sent
 * @param receivedNanos the monotonic time at which the answer arrived
 */
record LimitStatement(double perSecond, long sentNanos, long receivedNanos) {

    boolean isLimited() {
        return Double.isFinite(perSecond);
    }

    /**
     * Determines whether this statement was made after another, with a margin for clocks that
     * differ.
     */
    boolean isAfter(LimitStatement other, long marginNanos) {
        return sentNanos - other.receivedNanos > marginNanos;
    }

    /** Merges two statements whose order is unknown: the lower limit applies. */
    LimitStatement merge(LimitStatement other) {
        if (perSecond == other.perSecond) {
            return new LimitStatement(
                    perSecond,
                    later(sentNanos, other.sentNanos),
                    later(receivedNanos, other.receivedNanos));
        }
        return perSecond < other.perSecond ? this : other;
    }

    private static long later(long one, long other) {
        return one - other >= 0 ? one : other;
    }
}
