package io.masticpond.core.limit;

import io.masticpond.core.routing.Route;
import io.masticpond.core.support.Assert;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Admission limit that refuses requests for an overloaded service on arrival, the least urgent
 * first.
 *
 * <p>The expected wait for a slot is compared with a limit. The limit is a part of the target
 * latency of the route that depends on the rank of its priority among those that arrive for the
 * service: the least urgent priority has the smallest part, so that the queue that it builds up
 * never delays the others much. A configured priority with hardly any requests takes no rank from
 * the others: with ranks by configuration, a service whose only busy route ranked behind idle ones
 * refused every request that would have waited a quarter of its target, with most servers free. The
 * most urgent of several priorities is served as long as its deadline can be met. If there is only
 * one priority, a longer queue would only delay all of its answers, so the target bounds the wait.
 *
 * @since 0.2
 */
public final class AdmissionLimit {

    /** Maximum randomized pause relative to the expected one. */
    private static final double MAX_PAUSE_FACTOR = 1.5;

    /** Maximum part of the longest pause that jitter subtracts. */
    private static final double JITTER = 1.0 / 3;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Divisor of the remaining time of the client that gives the maximum pause. */
    private static final long REMAINING_TIME_DIVISOR = 3;

    private final AdmissionLimitSettings mSettings;
    private final PriorityTraffic mTraffic = new PriorityTraffic();
    private final UniformRandomProvider mRandom;

    /**
     * Creates the limit of a service.
     *
     * @param settings the limits
     * @param random the source of randomness, which spreads the retries of clients
     */
    public AdmissionLimit(AdmissionLimitSettings settings, UniformRandomProvider random) {
        mSettings = Assert.notNull(settings, "Settings of an admission limit");
        mRandom = Assert.notNull(random, "A source of randomness");
    }

    /**
     * Counts an arrived request. Must be called once per request, regardless of the decision on it.
     *
     * @param route its route
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void arrived(Route route, long nowNanos) {
        mTraffic.arrived(route.priority(), nowNanos);
    }

    /**
     * Decides on an arrived request.
     *
     * @param route its route
     * @param load the estimated load for the server that would serve it
     * @param leftNanos the time until its deadline or the timeout of its route, whichever is
     *     earlier, in nanoseconds
     * @return whether it is admitted, and otherwise when its client should retry
     */
    public AdmissionDecision decide(Route route, ServiceLoad load, long leftNanos) {
        if (load.usableSlots() == 0) {
            return refuse(mSettings.noServerPause().toNanos(), leftNanos, Long.MAX_VALUE, 0);
        }
        long wait = load.expectedWaitNanos();
        long limit = limitNanos(route, load, leftNanos);
        return wait == 0 || wait <= limit
                ? AdmissionDecision.ADMITTED
                : refuse(wait - Math.max(0, limit), leftNanos, wait, limit);
    }

    /**
     * Decides on a request for servers that accept a bounded rate regardless of their load. The
     * rate of more urgent requests is reserved for these, and the remainder is divided at random.
     *
     * @param priority its priority
     * @param perSecond the rate
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether it is admitted
     */
    public boolean admits(int priority, double perSecond, long nowNanos) {
        double moreUrgent = mTraffic.moreUrgentPerSecond(priority, nowNanos);
        if (moreUrgent <= 0) {
            return true;
        }
        double own = Math.max(mTraffic.perSecond(priority, nowNanos), Double.MIN_NORMAL);
        return mRandom.nextDouble() < (perSecond - moreUrgent) / own;
    }

    /**
     * Returns the time after which a client should retry that such servers do not accept: the time
     * in which as many requests are served as arrive in a second.
     *
     * @param perSecond the rate in requests per second, 0 if this instance may send no requests
     * @param leftNanos the time until the deadline of the request, in nanoseconds
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return nanoseconds
     */
    public long retryAfterNanos(double perSecond, long leftNanos, long nowNanos) {
        double seconds = Math.max(1, mTraffic.perSecond(nowNanos)) / perSecond;
        long pauseNanos =
                perSecond > 0
                        ? (long) (seconds * NANOS_PER_SECOND)
                        : mSettings.noServerPause().toNanos();
        return refuse(pauseNanos, leftNanos, 0, 0).retryAfterNanos();
    }

    private long limitNanos(Route route, ServiceLoad load, long leftNanos) {
        long byDeadline = (long) (leftNanos * mSettings.deadlinePart()) - load.meanServiceNanos();
        int rank = mTraffic.rank(route.priority());
        int present = mTraffic.present(route.priority());
        if (rank == 0 && present > 1) {
            return byDeadline;
        }
        double urgency = 1 - (double) rank / Math.max(1, present - 1);
        double part =
                mSettings.minimumPart()
                        + (mSettings.singlePriorityPart() - mSettings.minimumPart()) * urgency;
        return Math.min(byDeadline, (long) (route.targetLatency().toNanos() * part));
    }

    /**
     * Refuses a request until the queue is expected to be short enough, within the pause that a
     * client observes.
     */
    private AdmissionDecision refuse(
            long excessNanos, long leftNanos, long waitNanos, long maximumWaitNanos) {
        long maximum = Math.max(0, leftNanos / REMAINING_TIME_DIVISOR);
        double longest = Math.min((double) maximum, (double) excessNanos * MAX_PAUSE_FACTOR);
        long pause = (long) (longest * (1 - JITTER * mRandom.nextDouble()));
        long minimum = mSettings.minimumPause().toNanos();
        return new AdmissionDecision(
                false, Math.min(maximum, Math.max(minimum, pause)), waitNanos, maximumWaitNanos);
    }
}
