package io.masticpond.core.limit;

import io.masticpond.core.workspace.RateLimit;
import java.time.Duration;

/**
 * This instance's view of the rate of one workspace, which all instances share without a leader. A
 * state machine for use by a single thread.
 *
 * <p>Each instance tracks the credit of the whole fleet, which grows by the rate and falls by the
 * requests sent here and by those that the others reported. Within the time that updates take to
 * arrive, an instance uses the part of that credit that corresponds to its share of the demand. All
 * instances together therefore use hardly more than the credit, however late updates arrive, and
 * any excess is compensated later. Instances without a known state are assumed to use their equal
 * part of the rate. An instance that receives no updates therefore has only its own equal part, and
 * regions that are disconnected from each other have theirs.
 *
 * @since 0.2
 */
public final class SharedRate {

    /** Maximum age of the updates of other instances in the absence of failures. */
    static final double LAG_SECONDS = 0.5;

    /** Age from which on an update is discarded. */
    private static final double MAX_UPDATE_AGE_SECONDS = 0.9;

    /** Age from which on an update is stale, with more uncertainty than the credit allows for. */
    private static final double STALE_UPDATE_SECONDS = 0.45;

    /** Part of its share of the rate that an instance uses while the update is stale. */
    private static final double STALE_RATE_PART = 0.5;

    /**
     * Minimum demand of an instance, somewhat more than one request within the last second, which
     * counts also before others know of it.
     */
    private static final double MIN_DEMAND = 1.3;

    /**
     * Parts of burst and slack that are given out. The remainder covers requests that are sent
     * before others receive an update.
     */
    private static final double BURST_PART = 0.45;

    private static final double SLACK_PART = 0.33;

    /** Part of the slack that is given out after a start, since earlier runs may have used it. */
    private static final double INITIAL_SLACK_PART = 0.1;

    /**
     * Time constant in which a disconnected instance loses the credit beyond its own part. An
     * instance that has just started and receives updates of more and more instances keeps it,
     * since all may have started together.
     */
    private static final double DISCONNECTED_DECAY_SECONDS = 0.2;

    /**
     * Part of the recently unused rate that instances may use in addition. The requests that arrive
     * at one instance are uneven, and this much fits into the bound.
     */
    private static final double UNUSED_RATE_PART = 0.5;

    /**
     * Time in which the additional allowance is restored, which is no sooner than its use shows in
     * the credit.
     */
    private static final double UNUSED_RATE_SECONDS = 2;

    /** Weight of the most recent second in the average demand of some seconds. */
    private static final double NEWEST_WEIGHT = 0.06;

    /** Part of the capacity from which on the additional allowance is full. */
    private static final double HIGH_CREDIT_PART = 0.5;

    /**
     * Steps over which sent requests are counted, which is the time between two reports of a zone,
     * so that they are reported soon.
     */
    private static final int USED_STEPS = 4;

    private static final int DEMAND_STEPS = 10;
    private static final double NANOS = 1e9;

    private SharedRateSettings mSettings;
    private RateLimit mLimit;
    private double mCredit;
    private double mTokens;
    private long mUpdatedNanos;
    private long mReceivedNanos;
    private RateUsage mOthers = RateUsage.NONE;
    private int mReportedInstances;
    private int mMaxReportedInstances;
    private double mReportedDemand;
    private double mPreviousReportedDemand;
    private double mAverageDemand;
    private double mOwnDemand = MIN_DEMAND;
    private int mInstances;
    private final SlidingWindowCounter mUsed;
    private final SlidingWindowCounter mDemand;

    /**
     * Creates a rate with the credit that may be given out at once. This instance uses no more of
     * it than its own part until it receives updates of others.
     *
     * @param limit the workspace's limit
     * @param settings the settings of the bound
     * @param instances the number of instances that share the rate
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public SharedRate(RateLimit limit, SharedRateSettings settings, int instances, long nowNanos) {
        mLimit = limit;
        mSettings = settings;
        mInstances = Math.max(1, instances);
        mUpdatedNanos = nowNanos;
        mUsed = new SlidingWindowCounter(USED_STEPS, nowNanos);
        mDemand = new SlidingWindowCounter(DEMAND_STEPS, nowNanos);
        mCredit = BURST_PART * burstAllowance() + INITIAL_SLACK_PART * mSettings.slack();
        mTokens = 1;
    }

    /**
     * Applies a new limit or bound. A lower one takes effect at once.
     *
     * @param limit the limit
     * @param settings the settings of the bound
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void applySettings(RateLimit limit, SharedRateSettings settings, long nowNanos) {
        update(nowNanos);
        mLimit = limit;
        mSettings = settings;
        mCredit = Math.min(mCredit, fullCapacity());
    }

    /**
     * Sets the number of instances.
     *
     * @param all the number of instances that may be sending, reachable or not, including this one
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void setInstanceCount(int all, long nowNanos) {
        update(nowNanos);
        mInstances = Math.max(1, all);
    }

    /**
     * Handles an update on the usage of the other instances.
     *
     * @param others the sum of their usage
     * @param reportedInstances the number of instances in that sum
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(RateUsage others, int reportedInstances, long nowNanos) {
        boolean isIdle =
                others.isNone() && mOthers.isNone() && mReportedInstances == reportedInstances;
        if (!isIdle) {
            update(nowNanos);
        }
        mOthers = others;
        mReportedInstances = reportedInstances;
        mMaxReportedInstances = Math.max(mMaxReportedInstances, reportedInstances);
        mReceivedNanos = nowNanos;
        mOwnDemand =
                Math.max(
                        MIN_DEMAND,
                        Math.max(
                                Math.min(mReportedDemand, mPreviousReportedDemand),
                                mAverageDemand));
    }

    /**
     * Returns the usage of this instance, to be reported to the others.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the usage
     */
    public RateUsage report(long nowNanos) {
        RateUsage own = new RateUsage(mUsed.perSecond(nowNanos), mDemand.perSecond(nowNanos));
        mPreviousReportedDemand = mReportedDemand;
        mReportedDemand = own.demand();
        mAverageDemand += NEWEST_WEIGHT * (mReportedDemand - mAverageDemand);
        return own;
    }

    /**
     * Counts a received request and decides whether it may be sent.
     *
     * @param draw a random number from 0 (inclusive) to 1 (exclusive), which grants fractions of a
     *     request
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether it may be sent
     */
    public boolean tryAdmit(double draw, long nowNanos) {
        mDemand.add(nowNanos);
        update(nowNanos);
        double chance = Math.min(1, mTokens);
        if (chance <= 0) {
            return false;
        }
        mTokens -= chance;
        return draw < chance;
    }

    /**
     * Counts a sent request, whether a first attempt or a retry.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void sent(long nowNanos) {
        update(nowNanos);
        mUsed.add(nowNanos);
        mCredit -= 1;
    }

    /**
     * Returns the time after which a rejected caller has a fair chance again, which is the time in
     * which as many requests are admitted as arrive in a second.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the time to wait
     */
    public Duration retryAfter(long nowNanos) {
        update(nowNanos);
        double debt = Math.max(0, 1 - mCredit) / mLimit.perSecond();
        double excessDemand = Math.max(0, demand(nowNanos) / mLimit.perSecond() - 1);
        return Duration.ofMillis((long) (1_000 * (LAG_SECONDS / 2 + debt + excessDemand)));
    }

    /**
     * Returns the credit of the whole fleet in the view of this instance.
     *
     * @return the requests that may be sent at once; negative after too many were sent
     */
    public double credit() {
        return mCredit;
    }

    /**
     * Returns the demand of the whole workspace as far as it is known to this instance.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the requests per second received by all reachable instances
     */
    public double demand(long nowNanos) {
        return mOthers.demand() + mDemand.perSecond(nowNanos);
    }

    /**
     * Returns the rate in force.
     *
     * @return the limit
     */
    public RateLimit limit() {
        return mLimit;
    }

    private void update(long nowNanos) {
        double passed = Math.max(0, (nowNanos - mUpdatedNanos) / NANOS);
        mUpdatedNanos = nowNanos;
        double age = (nowNanos - mReceivedNanos) / NANOS;
        if (age > MAX_UPDATE_AGE_SECONDS) {
            mOthers = RateUsage.NONE;
            mReportedInstances = 0;
        }
        boolean isStale = mReportedInstances > 0 && age > STALE_UPDATE_SECONDS;
        double reachableRate = reachableRate();
        double others = isStale ? Math.max(mOthers.used(), reachableRate) : mOthers.used();
        mCredit += (reachableRate - others) * passed;
        double full = fullCapacity();
        mCredit = Math.max(-full - mLimit.perSecond(), Math.min(full, mCredit));
        if (mReportedInstances < mMaxReportedInstances) {
            double beyond = Math.max(0, mCredit - reachableCapacity());
            mCredit -= beyond * Math.min(1, passed / DISCONNECTED_DECAY_SECONDS);
        }
        double claim = Math.max(0, share() * usableCredit());
        double additional = isStale ? 0 : additionalAllowance(reachableRate, nowNanos);
        double own = share() * reachableRate;
        double growth =
                isStale
                        ? own * STALE_RATE_PART
                        : Math.max(own, claim / LAG_SECONDS + additional / UNUSED_RATE_SECONDS);
        mTokens = Math.min(claim + additional, mTokens + growth * passed);
    }

    /**
     * Returns this instance's part of the additional allowance, reduced while the credit is low.
     */
    private double additionalAllowance(double reachableRate, long nowNanos) {
        double creditPart =
                Math.max(0, Math.min(1, usableCredit() / (HIGH_CREDIT_PART * reachableCapacity())));
        double unused = Math.max(0, reachableRate - demand(nowNanos)) * mSettings.seconds();
        return UNUSED_RATE_PART * creditPart * unused * (share() + 1.0 / mInstances) / 2;
    }

    /**
     * Returns the rate of the instances that receive updates of each other, with some of the
     * tolerance above it: a disconnected instance uses only its own part, so fewer requests are
     * sent without updates than by all instances together.
     */
    private double reachableRate() {
        double unknownPart = unknownPart();
        double above = mSettings.tolerance() / 2 * unknownPart;
        return mLimit.perSecond() * (1 - unknownPart) * (1 + above);
    }

    /** Returns the part of the rate that belongs to instances without a known state. */
    private double unknownPart() {
        return Math.max(0, mInstances - 1 - mReportedInstances) / (double) mInstances;
    }

    /**
     * Returns this instance's share of the demand, based on its own demand as last known to the
     * others.
     */
    private double share() {
        return mOwnDemand / (mOwnDemand + mOthers.demand());
    }

    /** Returns the credit of the instances that receive updates of each other. */
    private double usableCredit() {
        return Math.min(mCredit, reachableCapacity());
    }

    private double reachableCapacity() {
        return fullCapacity() * (1 - unknownPart());
    }

    private double fullCapacity() {
        return Math.max(1, BURST_PART * burstAllowance() + SLACK_PART * mSettings.slack());
    }

    /** Returns the burst, or the tolerance above the rate if that is more. */
    private double burstAllowance() {
        double window = mLimit.perSecond() * mSettings.seconds();
        return Math.max(mLimit.burst(), mSettings.tolerance() * window);
    }
}
