package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * This instance's part of a bound on the retries to a service, which all instances share.
 *
 * <p>In each span that ends now and is from half a window to a whole window long, the instance
 * sends at most the ratio of its requests of that span plus its part of the slack, times a safety
 * factor, as retries. The spans shorter than the window are necessary: without them, the retries
 * for a burst of requests could fall into a window that contains none of these requests. Both are
 * counted in small buckets, retries over slightly more than the span and requests over slightly
 * less.
 *
 * <p>The parts of the slack must not add up to more than the whole while the number of instances
 * changes. A lower number of shareholders therefore takes effect only after a window, when the
 * retries that the missing instances may have sent have left it; a higher number takes effect at
 * once. An instance neither knows the retries of its previous run, nor do the others know of the
 * instance at once: it has no slack in its first window and its full part only after the second. A
 * state machine for use by a single thread.
 *
 * @since 0.2
 */
public final class SharedRetryBudget {

    private static final int WINDOW_BUCKETS = 20;

    /** Minimum span in buckets; a shorter span is within its bound if this one is. */
    private static final int MIN_SPAN = WINDOW_BUCKETS / 2;

    /** Buckets of the window, the bucket in which it begins, and one more. */
    private static final int BUCKETS = WINDOW_BUCKETS + 2;

    private RetryBudgetSettings mSettings;
    private final long mStartNanos;
    private final long mWindowNanos;
    private final long mBucketNanos;
    private final int[] mRequests = new int[BUCKETS];
    private final int[] mRetries = new int[BUCKETS];
    private long mBucket;
    private int mShareholders;
    private int mPendingShareholders;
    private long mPendingSinceNanos;

    /**
     * Creates a budget without counted requests.
     *
     * @param settings the settings of the bound
     * @param startNanos the monotonic start time of this run of the instance (not the time at which
     *     the service was added), in nanoseconds
     */
    public SharedRetryBudget(RetryBudgetSettings settings, long startNanos) {
        mSettings = Assert.notNull(settings, "Settings of a retry budget");
        mStartNanos = startNanos;
        mWindowNanos = settings.window().toNanos();
        mBucketNanos = Math.max(1, (mWindowNanos + WINDOW_BUCKETS - 1) / WINDOW_BUCKETS);
    }

    /**
     * Applies a new ratio and slack. Requests and retries sent before stay counted.
     *
     * @param settings the settings of the bound, with the same window
     * @throws IllegalArgumentException if the window differs
     */
    public void applySettings(RetryBudgetSettings settings) {
        Assert.isTrue(
                settings.window().equals(mSettings.window()),
                "The window must stay %s, but was %s.",
                mSettings.window(),
                settings.window());
        mSettings = settings;
    }

    /**
     * Counts a request for the service, whose first attempt needs no budget.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void recordFirstAttempt(long nowNanos) {
        advance(nowNanos);
        mRequests[slot(mBucket)]++;
    }

    /**
     * Takes one retry out of the budget.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param shareholders the number of instances that may be sending now, including this one
     * @return whether the budget had one
     */
    public boolean tryRetry(long nowNanos, int shareholders) {
        if (left(nowNanos, shareholders) < 1) {
            return false;
        }
        mRetries[slot(mBucket)]++;
        return true;
    }

    /**
     * Returns the number of retries that are left now.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param shareholders the number of instances that may be sending now, including this one
     * @return the number, not negative, with a fraction that grows towards the next retry
     */
    public double left(long nowNanos, int shareholders) {
        advance(nowNanos);
        observe(nowNanos, shareholders);
        double slack = mSettings.slack() * slackFactor(nowNanos) / mShareholders;
        return Math.max(0, mSettings.safety() * slack + minimumRemainder());
    }

    /**
     * Returns the usage of the budget, for display.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param shareholders the number of instances that may be sending now, including this one
     * @return the figures of the window that ends now
     */
    public RetryBudgetUsage usage(long nowNanos, int shareholders) {
        double left = left(nowNanos, shareholders);
        int requests = 0;
        int retries = 0;
        for (int span = 0; span < WINDOW_BUCKETS; span++) {
            requests += mRequests[slot(mBucket - span)];
            retries += mRetries[slot(mBucket - span)];
        }
        double slack = mSettings.slack() * slackFactor(nowNanos) / mShareholders;
        double bound = mSettings.safety() * (slack + mSettings.ratio() * requests);
        return new RetryBudgetUsage(requests, retries, bound, left);
    }

    /**
     * Returns the number of instances by which the slack is divided: the number given last, or a
     * higher one of the last window.
     *
     * @return the number, 0 if none has been given
     */
    public int shareholders() {
        return mShareholders;
    }

    /**
     * Returns the number of retries that the requests allow minus the retries sent, as the minimum
     * over all spans.
     */
    private double minimumRemainder() {
        double perRequest = mSettings.safety() * mSettings.ratio();
        int retries = mRetries[slot(mBucket)] + mRetries[slot(mBucket - 1)];
        int requests = 0;
        double minimum = Double.MAX_VALUE;
        for (int span = 1; span <= WINDOW_BUCKETS; span++) {
            requests += mRequests[slot(mBucket - span + 1)];
            retries += mRetries[slot(mBucket - span - 1)];
            if (span >= MIN_SPAN) {
                minimum = Math.min(minimum, perRequest * requests - retries);
            }
        }
        return minimum;
    }

    /**
     * Updates the number of instances that may be sending. Each query of the budget does the same.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @param shareholders the number of instances that may be sending now, including this one
     */
    public void observe(long nowNanos, int shareholders) {
        Assert.positive(shareholders, "A number of shareholders");
        if (shareholders >= mShareholders) {
            mShareholders = shareholders;
            mPendingShareholders = 0;
            return;
        }
        if (mPendingShareholders == 0) {
            mPendingSinceNanos = nowNanos;
        }
        mPendingShareholders = Math.max(mPendingShareholders, shareholders);
        if (nowNanos - mPendingSinceNanos >= mWindowNanos + mBucketNanos) {
            mShareholders = mPendingShareholders;
            mPendingShareholders = 0;
        }
    }

    private double slackFactor(long nowNanos) {
        double windows = (double) (nowNanos - mStartNanos) / mWindowNanos;
        return Math.min(1, Math.max(0, windows - 1));
    }

    private void advance(long nowNanos) {
        long bucket = Math.max(0, nowNanos - mStartNanos) / mBucketNanos;
        if (bucket - mBucket >= BUCKETS) {
            mBucket = bucket - BUCKETS;
        }
        while (mBucket < bucket) {
            mBucket++;
            mRequests[slot(mBucket)] = 0;
            mRetries[slot(mBucket)] = 0;
        }
    }

    private static int slot(long bucket) {
        return Math.floorMod(bucket, BUCKETS);
    }
}
