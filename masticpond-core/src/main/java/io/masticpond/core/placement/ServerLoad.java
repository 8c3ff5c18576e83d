package io.masticpond.core.placement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * What this instance knows of the load of one backend server: its own requests there exactly, those
 * of other instances by the server's last report, which fades. Touched by one thread only.
 *
 * @since 0.2
 */
public final class ServerLoad {

    private static final double FADE_NANOS = TimeUnit.SECONDS.toNanos(2);
    private static final double NEWEST_SHARE = 0.6;
    private static final double SERVICE_TIME_SHARE = 0.1;

    /** About how long a load waits until it is told, and travels. */
    private static final long HEARD_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** The most requests for each slot that another instance is believed to have seen. */
    private static final int MOST_FOR_EACH_SLOT = 4;

    private final long mHash;
    private RegisteredServer mServer;
    private Distance mDistance;
    private int mOwn;
    private double mOthers;
    private long mOthersNanos;
    private double mServiceNanos;
    private long mAvoidUntilNanos;
    private AvoidReason mAvoidReason;
    private boolean mOver;
    private boolean mSaidToBeFull;
    private boolean mIsReported;

    /**
     * Starts with a server that nothing was sent to.
     *
     * @param server the server
     * @param distance how far it is
     */
    public ServerLoad(RegisteredServer server, Distance distance) {
        mServer = Assert.notNull(server, "A backend server");
        mDistance = Assert.notNull(distance, "A distance");
        mHash = HashMixer.hash(server.id().value());
    }

    /**
     * Takes news of the registry.
     *
     * @param server the same server as now registered
     * @param distance how far it is
     */
    public void update(RegisteredServer server, Distance distance) {
        long coldUntilNanos = mServer.coldUntilNanos();
        mServer = server;
        mDistance = distance;
        if (!server.leaving()) {
            coldUntil(coldUntilNanos);
        }
    }

    /**
     * Gives the server.
     *
     * @return the server as registered, cold for longer if it was seen to be
     */
    public RegisteredServer server() {
        return mServer;
    }

    /**
     * Gives the distance.
     *
     * @return the distance
     */
    public Distance distance() {
        return mDistance;
    }

    /**
     * Gives the hash of the server's id.
     *
     * @return the hash
     */
    public long hash() {
        return mHash;
    }

    /**
     * Takes that this run of the server is over; what still ends there tells nothing of a later.
     */
    void markTerminated() {
        mOver = true;
    }

    /**
     * Tells whether this run of the server is over, as far as is known.
     *
     * @return whether it is
     */
    public boolean isTerminated() {
        return mOver;
    }

    /** Counts a request that is being sent. */
    public void requestStarted() {
        mOwn++;
    }

    /** Counts a request that has ended in any way. */
    public void requestEnded() {
        mOwn--;
    }

    /**
     * Takes the load that an answer told. Call it after {@link #requestEnded}: the answered request
     * is no longer counted by either side.
     *
     * @param load the load
     * @param nowNanos the monotonic time
     */
    public void reported(ReportedLoad load, long nowNanos) {
        double told = Math.max(0, load.running() + load.waiting() - mOwn);
        double before = others(nowNanos);
        mOthers = before + NEWEST_SHARE * (told - before);
        mOthersNanos = nowNanos;
        mIsReported = true;
    }

    /**
     * Takes the load that another instance heard of, cut to what the server's slots make likely. It
     * has waited for its bundle, so an answer to this instance, or another neighbor's word, that
     * came meanwhile is as good.
     *
     * @param load the load
     * @param nowNanos the monotonic time
     */
    void receivedFromPeer(ReportedLoad load, long nowNanos) {
        if (mIsReported && nowNanos - mOthersNanos < HEARD_AGE_NANOS) {
            return;
        }
        int most = MOST_FOR_EACH_SLOT * mServer.slots();
        int running = Math.min(load.running(), most);
        int waiting = Math.min(load.waiting(), most - running);
        reported(new ReportedLoad(running, waiting, mServer.slots()), nowNanos);
    }

    /** Notes what the instances around were told last. */
    void setReportedFull(boolean full) {
        mSaidToBeFull = full;
    }

    /** Tells whether the instances around were told last that no slot is free there. */
    boolean isReportedFull() {
        return mSaidToBeFull;
    }

    /**
     * Takes the time that a request took there, from its sending to its answer.
     *
     * @param nanos the time
     */
    public void answeredIn(long nanos) {
        mServiceNanos =
                mServiceNanos == 0
                        ? nanos
                        : mServiceNanos + SERVICE_TIME_SHARE * (nanos - mServiceNanos);
    }

    /**
     * Gives the typical time of a request there.
     *
     * @return nanoseconds, 0 before the first answer
     */
    public double serviceNanos() {
        return mServiceNanos;
    }

    /**
     * Keeps requests away from the server for a time.
     *
     * @param untilNanos until when, on the monotonic clock
     * @param reason why
     */
    public void avoidUntil(long untilNanos, AvoidReason reason) {
        mAvoidUntilNanos = untilNanos;
        mAvoidReason = Assert.notNull(reason, "A reason");
    }

    /**
     * Tells why requests are kept away.
     *
     * @param nowNanos the monotonic time
     * @return the reason, or empty if they are not
     */
    public Optional<AvoidReason> avoidReason(long nowNanos) {
        return isAvoided(nowNanos) ? Optional.of(mAvoidReason) : Optional.empty();
    }

    /**
     * Tells whether requests are kept away.
     *
     * @param nowNanos the monotonic time
     * @return whether they are
     */
    public boolean isAvoided(long nowNanos) {
        return mAvoidReason != null && mAvoidUntilNanos - nowNanos > 0;
    }

    /**
     * Takes the server for cold at least until a time, whatever the registry says.
     *
     * @param untilNanos until when, on the monotonic clock
     */
    public void coldUntil(long untilNanos) {
        if (mServer.coldUntilNanos() - untilNanos < 0) {
            mServer = mServer.withColdUntil(untilNanos);
        }
    }

    /**
     * Counts the requests that this instance has there.
     *
     * @return those sent that have not ended
     */
    public int ownInFlight() {
        return mOwn;
    }

    /**
     * Estimates the requests that run or wait there, of all instances.
     *
     * @param nowNanos the monotonic time
     * @return the estimate
     */
    public double inFlight(long nowNanos) {
        return mOwn + others(nowNanos);
    }

    private double others(long nowNanos) {
        return mOthers * Math.exp(-(nowNanos - mOthersNanos) / FADE_NANOS);
    }
}
