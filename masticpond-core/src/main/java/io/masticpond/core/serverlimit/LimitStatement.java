package io.masticpond.core.serverlimit;

/**
 * What a backend server said of its limit with one answer.
 *
 * <p>Answers of several connections arrive in another order than they were made. One is certainly
 * the newer if its request was sent after the other had arrived.
 *
 * @param perSecond the limit, infinite if the answer named none
 * @param sentNanos the monotonic time at which the request was sent
 * @param receivedNanos the monotonic time at which the answer arrived
 */
record LimitStatement(double perSecond, long sentNanos, long receivedNanos) {

    boolean isLimited() {
        return Double.isFinite(perSecond);
    }

    /** Tells whether this one was made after another, with a margin for differing clocks. */
    boolean isAfter(LimitStatement other, long marginNanos) {
        return sentNanos - other.receivedNanos > marginNanos;
    }

    /** Joins two that may have been made in either order: the lower limit counts. */
    LimitStatement join(LimitStatement other) {
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
