package io.masticpond.core.limit;

import io.masticpond.core.routing.Route;
import io.masticpond.core.support.Assert;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Refuses requests for a service that is overloaded, the least urgent first and on arrival.
 *
 * <p>The expected wait for a slot is held against a limit. It is a part of the target latency of
 * the route that depends on the rank of its priority among those that arrive for the service: the
 * least urgent has the smallest, so that the queue that it helps to build never delays the others
 * much. A priority that is configured but brings hardly a request takes no rank from the others:
 * with ranks by configuration, a service whose only busy route stood behind idle ones refused
 * whatever would have waited a quarter of its target, with most servers free. The most urgent of
 * several is served as long as its deadline can be met. If there is only one priority, a longer
 * queue would only make all of its answers late, so the target bounds it.
 *
 * @since 0.2
 */
public final class AdmissionLimit {

    /** The longest pause by chance, relative to the expected one. */
    private static final double LONGEST_PAUSE = 1.5;

    /** The part of the longest pause that chance may take off. */
    private static final double CHANCE = 1.0 / 3;

    private static final double NANOS_PER_SECOND = 1e9;

    /** The longest pause as a part of the time that the client has left. */
    private static final long PART_OF_TIME_LEFT = 3;

    private final AdmissionLimitSettings mSettings;
    private final PriorityTraffic mTraffic = new PriorityTraffic();
    private final UniformRandomProvider mRandom;

    /**
     * Makes the limit of a service.
     *
     * @param settings the limits
     * @param random chance, which spreads the returns of clients
     */
    public AdmissionLimit(AdmissionLimitSettings settings, UniformRandomProvider random) {
        mSettings = Assert.notNull(settings, "Settings of an admission limit");
        mRandom = Assert.notNull(random, "A source of chance");
    }

    /**
     * Counts a request that has arrived, once, whatever is decided on it.
     *
     * @param route its route
     * @param nowNanos the monotonic time
     */
    public void arrived(Route route, long nowNanos) {
        mTraffic.arrived(route.priority(), nowNanos);
    }

    /**
     * Decides on a request that has arrived.
     *
     * @param route its route
     * @param load what is estimated of the server that would take it
     * @param leftNanos the time until its deadline or the timeout of its route, whichever is first
     * @return whether it is admitted, and otherwise when its client should return
     */
    public AdmissionDecision decide(Route route, ServiceLoad load, long leftNanos) {
        if (load.usableSlots() == 0) {
            return refuse(mSettings.blindPause().toNanos(), leftNanos, Long.MAX_VALUE, 0);
        }
        long wait = load.expectedWaitNanos();
        long limit = limitNanos(route, load, leftNanos);
        return wait == 0 || wait <= limit
                ? AdmissionDecision.ADMITTED
                : refuse(wait - Math.max(0, limit), leftNanos, wait, limit);
    }

    /**
     * Decides on a request for servers that take a bounded rate, whatever their load: what the more
     * urgent ones bring is left to them, and the rest is shared by chance.
     *
     * @param priority its priority
     * @param perSecond the rate
     * @param nowNanos the monotonic time
     * @return whether it is admitted
     */
    public boolean admits(int priority, double perSecond, long nowNanos) {
        double urgent = mTraffic.moreUrgentPerSecond(priority, nowNanos);
        if (urgent <= 0) {
            return true;
        }
        double own = Math.max(mTraffic.perSecond(priority, nowNanos), Double.MIN_NORMAL);
        return mRandom.nextDouble() < (perSecond - urgent) / own;
    }

    /**
     * Tells when a client should return that such servers do not take: when as many requests as
     * come in a second have been served.
     *
     * @param perSecond the rate, 0 if this instance may send nothing
     * @param leftNanos the time until the request's deadline
     * @param nowNanos the monotonic time
     * @return nanoseconds
     */
    public long retryAfterNanos(double perSecond, long leftNanos, long nowNanos) {
        double seconds = Math.max(1, mTraffic.perSecond(nowNanos)) / perSecond;
        long pauseNanos =
                perSecond > 0
                        ? (long) (seconds * NANOS_PER_SECOND)
                        : mSettings.blindPause().toNanos();
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
                mSettings.leastPart() + (mSettings.alonePart() - mSettings.leastPart()) * urgency;
        return Math.min(byDeadline, (long) (route.targetLatency().toNanos() * part));
    }

    /** Refuses until the queue is expected to be short enough, within what a client honours. */
    private AdmissionDecision refuse(
            long excessNanos, long leftNanos, long waitNanos, long longestWaitNanos) {
        long most = Math.max(0, leftNanos / PART_OF_TIME_LEFT);
        double longest = Math.min((double) most, (double) excessNanos * LONGEST_PAUSE);
        long pause = (long) (longest * (1 - CHANCE * mRandom.nextDouble()));
        long least = mSettings.shortestPause().toNanos();
        return new AdmissionDecision(
                false, Math.min(most, Math.max(least, pause)), waitNanos, longestWaitNanos);
    }
}
