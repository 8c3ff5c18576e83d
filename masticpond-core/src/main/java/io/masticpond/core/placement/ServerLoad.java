package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.speed.ServerSpeed;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * Load of one backend server as this instance knows it: the exact number of its own requests there,
 * and an estimate of those of other instances by the server's last report, which decays.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ServerLoad {

    private static final double DECAY_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double LOAD_SMOOTHING_FACTOR = 0.6;
    private static final double SERVICE_TIME_SMOOTHING_FACTOR = 0.1;

    /** Approximate time that a load waits until it is reported, including the transmission. */
    private static final long PEER_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Maximum number of requests per slot that is accepted in a report of another instance. */
    static final int MAXIMUM_REQUESTS_PER_SLOT = 4;

    /** Time after an answer for which its connection is assumed to be idle and open. */
    private static final long IDLE_CONNECTION_NANOS = TimeUnit.SECONDS.toNanos(3);

    private final long mHash;
    private final ServerRegistration mRegistration;
    private Distance mDistance;
    private int mOwnRequests;
    private double mOtherRequests;
    private long mOtherRequestsNanos;
    private double mServiceNanos;
    private long mAvoidUntilNanos;
    private AvoidReason mAvoidReason;
    private boolean mIsTerminated;
    private boolean mIsReportedFull;
    private boolean mIsReported;
    private final ServerSpeed mSpeed = new ServerSpeed();
    private boolean mIsReportedSlow;
    private long mReportedSlowNanos;
    private long mAnsweredNanos;
    private boolean mIsAnswered;

    /**
     * Creates the load of a server to which no request was sent.
     *
     * @param server the server
     * @param distance the distance of the server
     */
    public ServerLoad(RegisteredServer server, Distance distance) {
        mRegistration = new ServerRegistration(server);
        mDistance = Assert.notNull(distance, "A distance");
        mHash = HashMixer.hash(server.id().value());
    }

    /**
     * Applies an update of the registry.
     *
     * @param server the current registration of the same server
     * @param distance the distance of the server
     */
    public void update(RegisteredServer server, Distance distance) {
        mRegistration.update(server);
        mDistance = distance;
    }

    /**
     * Returns the server.
     *
     * @return the server as registered, with a longer cold time if it was observed to be cold or
     *     may have restarted
     */
    public RegisteredServer server() {
        return mRegistration.server();
    }

    /**
     * Returns the distance.
     *
     * @return the distance
     */
    public Distance distance() {
        return mDistance;
    }

    /**
     * Returns the hash of the server's id.
     *
     * @return the hash
     */
    public long hash() {
        return mHash;
    }

    /**
     * Marks this run of the server as terminated; requests that still end there say nothing about a
     * later run.
     */
    void markTerminated() {
        mIsTerminated = true;
    }

    /**
     * Determines whether this run of the server is known to have terminated.
     *
     * @return whether it has terminated
     */
    public boolean isTerminated() {
        return mIsTerminated;
    }

    /** Records that a request is being sent. */
    public void requestStarted() {
        mOwnRequests++;
    }

    /** Records that a request has ended in any way. */
    public void requestEnded() {
        mOwnRequests--;
    }

    /**
     * Records the load that was reported with an answer. Must be called after {@link
     * #requestEnded}: the answered request is no longer counted by either side.
     *
     * @param load the load
     * @param nowNanos the current monotonic time
     */
    public void recordReport(ReportedLoad load, long nowNanos) {
        double otherRequests = Math.max(0, load.running() + load.waiting() - mOwnRequests);
        double previous = decayedOtherRequests(nowNanos);
        mOtherRequests = previous + LOAD_SMOOTHING_FACTOR * (otherRequests - previous);
        mOtherRequestsNanos = nowNanos;
        mIsReported = true;
    }

    /**
     * Records an answer to this instance, whose connection can be used again.
     *
     * @param nowNanos the current monotonic time
     */
    void recordAnswered(long nowNanos) {
        mAnsweredNanos = nowNanos;
        mIsAnswered = true;
    }

    /**
     * Returns the time since the last answer to this instance.
     *
     * @param nowNanos the current monotonic time
     * @return nanoseconds, or {@link Long#MAX_VALUE} without an answer
     */
    public long answeredAgoNanos(long nowNanos) {
        return mIsAnswered ? nowNanos - mAnsweredNanos : Long.MAX_VALUE;
    }

    /**
     * Determines whether a connection is likely to be idle. Exact knowledge would require a query
     * of the connections for each candidate; an error costs one round trip in the estimate.
     */
    boolean hasIdleConnection(long nowNanos) {
        return mIsAnswered && nowNanos - mAnsweredNanos < IDLE_CONNECTION_NANOS;
    }

    /**
     * Returns the slowdown that this run of the server reported.
     *
     * @return the speed, which is updated with each report
     */
    public ServerSpeed speed() {
        return mSpeed;
    }

    /**
     * Records whether the latest load report on the server, sent to the neighbors or received from
     * one, says that the server is slow.
     */
    void setReportedSlow(boolean isSlow, long nowNanos) {
        mIsReportedSlow = isSlow;
        mReportedSlowNanos = nowNanos;
    }

    /**
     * Determines whether the latest load report on the server, sent to the neighbors or received
     * from one, says that the server is slow.
     */
    boolean isReportedSlow() {
        return mIsReportedSlow;
    }

    /** Returns the time since the latest load report that says so, in nanoseconds. */
    long reportedSlowAgeNanos(long nowNanos) {
        return nowNanos - mReportedSlowNanos;
    }

    /**
     * Returns the age of the last load that the server reported to this instance, or that another
     * instance passed on.
     *
     * @param nowNanos the current monotonic time
     * @return nanoseconds, or {@link Long#MAX_VALUE} if no load was reported
     */
    public long reportAgeNanos(long nowNanos) {
        return mIsReported ? nowNanos - mOtherRequestsNanos : Long.MAX_VALUE;
    }

    /**
     * Records a load that another instance reported, capped at a number that is plausible for the
     * server's slots. The report was delayed by batching, so it is ignored if an answer to this
     * instance or a report of another neighbor arrived in the meantime, which is as recent.
     *
     * @param load the load
     * @param nowNanos the current monotonic time
     */
    void receivedFromPeer(ReportedLoad load, long nowNanos) {
        if (mIsReported && nowNanos - mOtherRequestsNanos < PEER_REPORT_AGE_NANOS) {
            return;
        }
        int maximum = MAXIMUM_REQUESTS_PER_SLOT * server().slots();
        int running = Math.min(load.running(), maximum);
        int waiting = Math.min(load.waiting(), maximum - running);
        recordReport(new ReportedLoad(running, waiting, server().slots()), nowNanos);
    }

    /**
     * Records whether the latest load report on the server, sent to the neighbors or received from
     * one, says that no slot is free.
     */
    void setReportedFull(boolean isFull) {
        mIsReportedFull = isFull;
    }

    /**
     * Determines whether the latest load report on the server, sent to the neighbors or received
     * from one, says that no slot is free.
     */
    boolean isReportedFull() {
        return mIsReportedFull;
    }

    /**
     * Records the time of a request there, from its sending to its answer.
     *
     * @param nanos the time in nanoseconds
     */
    public void recordServiceTime(long nanos) {
        mServiceNanos =
                mServiceNanos == 0
                        ? nanos
                        : mServiceNanos + SERVICE_TIME_SMOOTHING_FACTOR * (nanos - mServiceNanos);
    }

    /**
     * Returns the typical time of a request there.
     *
     * @return nanoseconds, 0 before the first answer
     */
    public double serviceNanos() {
        return mServiceNanos;
    }

    /**
     * Avoids the server until a time.
     *
     * @param untilNanos the end on the monotonic clock
     * @param reason the reason
     */
    public void avoidUntil(long untilNanos, AvoidReason reason) {
        mAvoidUntilNanos = untilNanos;
        mAvoidReason = Assert.notNull(reason, "A reason");
    }

    /**
     * Ends an avoidance of the server for a reason that turned out to be none.
     *
     * @param reason the reason
     */
    void endAvoidance(AvoidReason reason) {
        if (mAvoidReason == reason) {
            mAvoidReason = null;
        }
    }

    /**
     * Returns the reason why the server is avoided.
     *
     * @param nowNanos the current monotonic time
     * @return the reason, or empty if it is not avoided
     */
    public Optional<AvoidReason> avoidReason(long nowNanos) {
        return isAvoided(nowNanos) ? Optional.of(mAvoidReason) : Optional.empty();
    }

    /**
     * Determines whether the server is avoided.
     *
     * @param nowNanos the current monotonic time
     * @return whether it is avoided
     */
    public boolean isAvoided(long nowNanos) {
        return mAvoidReason != null && mAvoidUntilNanos - nowNanos > 0;
    }

    /**
     * Returns the registration of the server, with what was observed of this run.
     *
     * @return the registration
     */
    public ServerRegistration registration() {
        return mRegistration;
    }

    /**
     * Returns the number of requests that this instance has in flight there.
     *
     * @return the number of requests sent that have not ended
     */
    public int ownInFlight() {
        return mOwnRequests;
    }

    /**
     * Estimates the number of requests of all instances that are processed or wait there.
     *
     * @param nowNanos the current monotonic time
     * @return the estimate
     */
    public double inFlight(long nowNanos) {
        return mOwnRequests + decayedOtherRequests(nowNanos);
    }

    /**
     * Estimates the number of requests of all instances that are processed or wait there. Unlike
     * {@link #inFlight}, the estimate of those of other instances returns to the mean of the
     * service, so that a server does not appear empty because it was not asked for a while.
     *
     * @param meanPerSlot the mean number of requests per slot of the servers of the service
     * @param nowNanos the current monotonic time
     * @return the estimate
     */
    double expectedInFlight(double meanPerSlot, long nowNanos) {
        double mean = Math.max(0, meanPerSlot * server().slots() - mOwnRequests);
        double remaining =
                mIsReported ? Math.exp(-(nowNanos - mOtherRequestsNanos) / DECAY_NANOS) : 0;
        return mOwnRequests + mean + (mOtherRequests - mean) * remaining;
    }

    /**
     * Returns the number of requests of all instances there by a recent report, without the decay
     * of {@link #inFlight}.
     *
     * @param maximumAgeNanos the greatest age of the report, in nanoseconds
     * @param nowNanos the current monotonic time
     * @return the number, or empty without such a report
     */
    public OptionalDouble recentInFlight(long maximumAgeNanos, long nowNanos) {
        return mIsReported && nowNanos - mOtherRequestsNanos <= maximumAgeNanos
                ? OptionalDouble.of(mOwnRequests + mOtherRequests)
                : OptionalDouble.empty();
    }

    private double decayedOtherRequests(long nowNanos) {
        return mOtherRequests * Math.exp(-(nowNanos - mOtherRequestsNanos) / DECAY_NANOS);
    }
}
