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
        double part(double relativePart, double advantage) {
            return Double.POSITIVE_INFINITY;
        }
    },
    /** All requests of its group are within their share. */
    SATISFIED {
        @Override
        double part(double relativePart, double advantage) {
            return 1;
        }
    },
    /** The group demands more than its share, and this request is within it. */
    WITHIN {
        @Override
        double part(double relativePart, double advantage) {
            return Math.max(MINIMUM_WITHIN_PART, relativePart);
        }
    },
    /** The group has used up its share. */
    BEYOND {
        @Override
        double part(double relativePart, double advantage) {
            double restraint = Math.max(0, 1 - advantage / FULL_ADVANTAGE);
            return Math.max(MINIMUM_BEYOND_PART, relativePart * relativePart) * restraint;
        }
    };

    /**
     * Minimum part for a request within the share. If the capacity is estimated too high, the
     * shares together exceed it, and the rest of the queue is left to the groups that are met.
     */
    private static final double MINIMUM_WITHIN_PART = 0.5;

    /**
     * Minimum part for a request beyond the share. It is small, since a group with eight times its
     * usual demand otherwise keeps the queue so long that the others are late.
     */
    private static final double MINIMUM_BEYOND_PART = 0.1;

    /**
     * Advantage of the own zone over the worst-served one from which on requests beyond the share
     * take only free slots. Without this restraint, a zone whose region has a tenth of the servers
     * was served less in a full service than without shares.
     */
    private static final double FULL_ADVANTAGE = 0.2;

    /**
     * Returns the longest wait for a slot with which a request is admitted.
     *
     * @param inTimeNanos the longest wait after which answers of the service are still in time
     * @param byDeadlineNanos the longest wait after which the request ends before its deadline
     * @param relativePart the part of the group's requests within its share, relative to that of
     *     the best-served group, 0 to 1
     * @param advantage by how much the own zone is served better than the worst-served one,
     *     relative to their shares, 0 to 1
     * @return nanoseconds, negative if the deadline cannot be met
     */
    long limitNanos(long inTimeNanos, long byDeadlineNanos, double relativePart, double advantage) {
        double limit = inTimeNanos * part(relativePart, advantage);
        return (long) Math.min(limit, byDeadlineNanos);
    }

    /** Returns the part of the wait in time that is permitted. */
    abstract double part(double relativePart, double advantage);
}
