package io.masticpond.core.limit;

import io.masticpond.core.workspace.RateLimit;
import java.time.Duration;

/**
 * This instance's view of one workspace's rate, which all instances share without a leader. A state
 * machine for one thread.
 *
 * <p>Each instance keeps the credit of the whole fleet: it grows by the rate and falls by what was
 * sent here and by what the others told that they sent. Of that credit an instance takes, within
 * the time that news needs, its share of the demand; so the shares of all together hardly take more
 * than the credit, however late one hears of the others, and what was sent beyond it is made up
 * for. Instances of which nothing is known are held to use their equal part of the rate. So who
 * hears of nobody has its own equal part alone, and regions that are cut from each other have
 * theirs.
 *
 * @since 0.2
 */
public final class SharedRate {

    /** How old the news of other instances is at most while nothing fails. */
    static final double LAG_SECONDS = 0.5;

    /** News older than this tells nothing of what others do now. */
    private static final double NEWS_SECONDS = 0.9;

    /** While news is older than this, more is in doubt than the credit allows for. */
    private static final double LATE_SECONDS = 0.45;

    /** The part of its share of the rate that an instance takes meanwhile. */
    private static final double LATE_PART = 0.5;

    /** One request within the last second counts at least, also before others know of it. */
    private static final double LEAST_DEMAND = 1.3;

    /** The parts of burst and slack that are given out; the rest is for what is sent unheard. */
    private static final double BURST_PART = 0.45;

    private static final double SLACK_PART = 0.33;

    /** After a start the slack may have been used by those that ran before. */
    private static final double FIRST_SLACK_PART = 0.1;

    /**
     * Who is cut off keeps no more than its part of the credit, but for so long. Who has just
     * started and hears of more and more keeps it: all may have started together.
     */
    private static final double CUT_SECONDS = 0.2;

    /**
     * The part of what the rate had left lately that instances may take besides: what comes to one
     * instance is uneven, and so much fits into the bound.
     */
    private static final double SPARE_PART = 0.5;

    /** What is taken besides comes back no sooner than it would show in the credit. */
    private static final double SPARE_SECONDS = 2;

    /** The weight of the newest second in the demand of some seconds. */
    private static final double NEWEST_WEIGHT = 0.06;

    /** The part of the capacity from which on the credit is ample. */
    private static final double AMPLE_CREDIT_PART = 0.5;

    /** What was sent is told soon, over the time between two words of a zone. */
    private static final int USED_STEPS = 4;

    private static final int ASKED_STEPS = 10;
    private static final double NANOS = 1e9;

    private SharedRateSettings mSettings;
    private RateLimit mLimit;
    private double mCredit;
    private double mTokens;
    private long mUpdatedNanos;
    private long mHeardNanos;
    private RateUsage mOthers = RateUsage.NONE;
    private int mHeardOf;
    private int mMostHeardOf;
    private double mReported;
    private double mReportedBefore;
    private double mUsual;
    private double mOwn = LEAST_DEMAND;
    private int mInstances;
    private final SlidingWindowCounter mUsed;
    private final SlidingWindowCounter mAsked;

    /**
     * Starts with what may be given out at once; this instance takes no more of it than its part
     * until it hears of others.
     *
     * @param limit the workspace's limit
     * @param settings the bound
     * @param instances among how many instances the rate is shared
     * @param nowNanos the monotonic time
     */
    public SharedRate(RateLimit limit, SharedRateSettings settings, int instances, long nowNanos) {
        mLimit = limit;
        mSettings = settings;
        mInstances = Math.max(1, instances);
        mUpdatedNanos = nowNanos;
        mUsed = new SlidingWindowCounter(USED_STEPS, nowNanos);
        mAsked = new SlidingWindowCounter(ASKED_STEPS, nowNanos);
        mCredit = BURST_PART * most() + FIRST_SLACK_PART * mSettings.slack();
        mTokens = 1;
    }

    /**
     * Takes another limit or bound; a lower one counts at once.
     *
     * @param limit the limit
     * @param settings the bound
     * @param nowNanos the monotonic time
     */
    public void applySettings(RateLimit limit, SharedRateSettings settings, long nowNanos) {
        update(nowNanos);
        mLimit = limit;
        mSettings = settings;
        mCredit = Math.min(mCredit, fullCapacity());
    }

    /**
     * Hears how many instances there are.
     *
     * @param all those that may be sending, reached or not, this one included
     * @param nowNanos the monotonic time
     */
    public void setInstanceCount(int all, long nowNanos) {
        update(nowNanos);
        mInstances = Math.max(1, all);
    }

    /**
     * Hears what others do.
     *
     * @param others the sum over them
     * @param heardOf how many of them are in that sum
     * @param nowNanos the monotonic time
     */
    public void received(RateUsage others, int heardOf, long nowNanos) {
        boolean isIdle = others.isNone() && mOthers.isNone() && mHeardOf == heardOf;
        if (!isIdle) {
            update(nowNanos);
        }
        mOthers = others;
        mHeardOf = heardOf;
        mMostHeardOf = Math.max(mMostHeardOf, heardOf);
        mHeardNanos = nowNanos;
        mOwn = Math.max(LEAST_DEMAND, Math.max(Math.min(mReported, mReportedBefore), mUsual));
    }

    /**
     * Gives what this instance does, to be told to the others.
     *
     * @param nowNanos the monotonic time
     * @return its use
     */
    public RateUsage report(long nowNanos) {
        RateUsage own = new RateUsage(mUsed.perSecond(nowNanos), mAsked.perSecond(nowNanos));
        mReportedBefore = mReported;
        mReported = own.demand();
        mUsual += NEWEST_WEIGHT * (mReported - mUsual);
        return own;
    }

    /**
     * Counts a request that came, and decides whether it may be sent.
     *
     * @param draw a random number from 0 up to 1, which shares out less than one request
     * @param nowNanos the monotonic time
     * @return whether it may
     */
    public boolean tryAdmit(double draw, long nowNanos) {
        mAsked.add(nowNanos);
        update(nowNanos);
        double chance = Math.min(1, mTokens);
        if (chance <= 0) {
            return false;
        }
        mTokens -= chance;
        return draw < chance;
    }

    /**
     * Counts a send of a request, the first or a further one.
     *
     * @param nowNanos the monotonic time
     */
    public void sent(long nowNanos) {
        update(nowNanos);
        mUsed.add(nowNanos);
        mCredit -= 1;
    }

    /**
     * Tells when a caller that was turned away has a fair chance again: after the time in which as
     * many requests as come in a second are let through.
     *
     * @param nowNanos the monotonic time
     * @return the pause
     */
    public Duration retryAfter(long nowNanos) {
        update(nowNanos);
        double debt = Math.max(0, 1 - mCredit) / mLimit.perSecond();
        double crowd = Math.max(0, demand(nowNanos) / mLimit.perSecond() - 1);
        return Duration.ofMillis((long) (1_000 * (LAG_SECONDS / 2 + debt + crowd)));
    }

    /**
     * Gives the credit that this instance believes the whole fleet to have.
     *
     * @return the requests that may be sent at once; negative while too many were
     */
    public double credit() {
        return mCredit;
    }

    /**
     * Gives the demand of the whole workspace as far as it is known here.
     *
     * @param nowNanos the monotonic time
     * @return the requests a second that come to all instances within reach
     */
    public double demand(long nowNanos) {
        return mOthers.demand() + mAsked.perSecond(nowNanos);
    }

    /**
     * Gives the rate in force.
     *
     * @return the limit
     */
    public RateLimit limit() {
        return mLimit;
    }

    private void update(long nowNanos) {
        double passed = Math.max(0, (nowNanos - mUpdatedNanos) / NANOS);
        mUpdatedNanos = nowNanos;
        double age = (nowNanos - mHeardNanos) / NANOS;
        if (age > NEWS_SECONDS) {
            mOthers = RateUsage.NONE;
            mHeardOf = 0;
        }
        boolean isLate = mHeardOf > 0 && age > LATE_SECONDS;
        double rest = rest();
        double others = isLate ? Math.max(mOthers.used(), rest) : mOthers.used();
        mCredit += (rest - others) * passed;
        double full = fullCapacity();
        mCredit = Math.max(-full - mLimit.perSecond(), Math.min(full, mCredit));
        if (mHeardOf < mMostHeardOf) {
            double beyond = Math.max(0, mCredit - capacity());
            mCredit -= beyond * Math.min(1, passed / CUT_SECONDS);
        }
        double claim = Math.max(0, share() * usable());
        double spare = isLate ? 0 : spare(rest, nowNanos);
        double own = share() * rest;
        double grows =
                isLate
                        ? own * LATE_PART
                        : Math.max(own, claim / LAG_SECONDS + spare / SPARE_SECONDS);
        mTokens = Math.min(claim + spare, mTokens + grows * passed);
    }

    /** Gives this instance's part of what may be taken besides, while the credit is ample. */
    private double spare(double rest, long nowNanos) {
        double ample = Math.max(0, Math.min(1, usable() / (AMPLE_CREDIT_PART * capacity())));
        double unused = Math.max(0, rest - demand(nowNanos)) * mSettings.seconds();
        return SPARE_PART * ample * unused * (share() + 1.0 / mInstances) / 2;
    }

    /**
     * Gives the rate of those that hear of each other, with some of what is tolerated above it: who
     * is cut off uses its part alone, so less than all together is sent unheard.
     */
    private double rest() {
        double unknown = unknown();
        double above = mSettings.tolerance() / 2 * unknown;
        return mLimit.perSecond() * (1 - unknown) * (1 + above);
    }

    /** Gives the part of the rate that those have of whom nothing is known. */
    private double unknown() {
        return Math.max(0, mInstances - 1 - mHeardOf) / (double) mInstances;
    }

    /** Gives this instance's share of the demand, its own as the others knew it at last. */
    private double share() {
        return mOwn / (mOwn + mOthers.demand());
    }

    /** Gives the credit of those that hear of each other. */
    private double usable() {
        return Math.min(mCredit, capacity());
    }

    private double capacity() {
        return fullCapacity() * (1 - unknown());
    }

    private double fullCapacity() {
        return Math.max(1, BURST_PART * most() + SLACK_PART * mSettings.slack());
    }

    /** Gives the burst, or what is tolerated above the rate if that is more. */
    private double most() {
        double window = mLimit.perSecond() * mSettings.seconds();
        return Math.max(mLimit.burst(), mSettings.tolerance() * window);
    }
}
