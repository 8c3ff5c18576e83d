package io.masticpond.core.region;

import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;

/**
 * Budget that limits retries to a share of the first attempts, so that retries cannot multiply an
 * overload.
 *
 * <p>A token bucket: each first attempt adds the share, each retry consumes one token. Spilling to
 * the next region after a truthful refusal is not a retry, since it costs no backend server work
 * and each region is tried once. Not thread-safe: confined to one thread.
 *
 * @since 0.1
 */
public final class RetryBudget {

    /** Default share of first attempts that may be retried. */
    public static final double DEFAULT_SHARE = 0.1;

    /** Default number of retries that may be made at once after an idle period. */
    public static final int DEFAULT_BURST = 10;

    private final double mShare;
    private final int mBurst;
    private double mTokens;
    private long mFirstAttempts;
    private long mRetries;

    /**
     * Creates a full bucket.
     *
     * @param share the number of retries per first attempt, from 0 to 1
     * @param burst the number of retries that may be made at once, at least 1
     */
    public RetryBudget(double share, int burst) {
        Assert.isTrue(share >= 0 && share <= 1, "A share must be from 0 to 1, but was %s.", share);
        Assert.positive(burst, "A burst");
        mShare = share;
        mBurst = burst;
        mTokens = burst;
    }

    /** Records a first attempt. */
    public void recordFirstAttempt() {
        mFirstAttempts++;
        mTokens = Math.min(mBurst, mTokens + mShare);
    }

    /**
     * Consumes one retry of the budget if the request may be attempted again.
     *
     * @param verdict the verdict whether the previous attempt ran
     * @param kind the kind of operation, which says whether a repeat is safe
     * @return whether the request may be attempted again now
     */
    public boolean tryRetry(Verdict verdict, OperationKind kind) {
        return verdict.allowsRetry(kind.isIdempotent()) && tryTake();
    }

    /**
     * Consumes one attempt of the budget.
     *
     * @return whether an attempt was available
     */
    boolean tryTake() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        mRetries++;
        return true;
    }

    /**
     * Returns the number of first attempts so far.
     *
     * @return the count
     */
    public long firstAttempts() {
        return mFirstAttempts;
    }

    /**
     * Returns the number of retries so far.
     *
     * @return the count
     */
    public long retries() {
        return mRetries;
    }
}
