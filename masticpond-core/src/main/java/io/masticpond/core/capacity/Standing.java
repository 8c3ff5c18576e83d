package io.masticpond.core.capacity;

/**
 * Standing of a request relative to the share of its group while a service is full, each with the
 * wait that it allows. Requests with a lower standing leave the queue short enough for those with a
 * higher one, so a group beyond its share is refused before it delays the others.
 */
enum Standing {
    /**
     * All requests of its priority are within their share, and less urgent ones compete with them.
     * The queue consists of less urgent requests, so it waits as long as its deadline permits.
     */
    URGENT {
        @Override
        long limitNanos(long inTimeNanos, long byDeadlineNanos) {
            return byDeadlineNanos;
        }
    },
    /** All requests of its group are within their share. */
    SATISFIED {
        @Override
        long limitNanos(long inTimeNanos, long byDeadlineNanos) {
            return Math.min(inTimeNanos, byDeadlineNanos);
        }
    },
    /** The group demands more than its share, and this request is within it. */
    WITHIN {
        @Override
        long limitNanos(long inTimeNanos, long byDeadlineNanos) {
            return Math.min((long) (inTimeNanos * WITHIN_PART), byDeadlineNanos);
        }
    },
    /** The group has used up its share. */
    BEYOND {
        @Override
        long limitNanos(long inTimeNanos, long byDeadlineNanos) {
            return Math.min((long) (inTimeNanos * BEYOND_PART), byDeadlineNanos);
        }
    };

    /**
     * Part of the wait in time for a group that demands more than its share. If the capacity is
     * estimated too high, the shares together exceed it, and this part keeps room for the groups
     * that demand less than an equal part.
     */
    private static final double WITHIN_PART = 0.75;

    /**
     * Part of the wait in time for a request beyond the share. Such requests keep the slots busy if
     * the capacity is estimated too low, and the other half of the queue stays free for the shares.
     */
    private static final double BEYOND_PART = 0.5;

    /**
     * Returns the longest wait for a slot with which a request is admitted.
     *
     * @param inTimeNanos the longest wait after which answers of the service are still in time
     * @param byDeadlineNanos the longest wait after which the request ends before its deadline
     * @return nanoseconds, negative if the deadline cannot be met
     */
    abstract long limitNanos(long inTimeNanos, long byDeadlineNanos);
}
