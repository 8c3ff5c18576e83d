package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;

/**
 * This instance's part of a bound on extra sends to a service that all instances share.
 *
 * <p>In each span that ends now and is from half a window to a whole one long, the instance sends
 * at most the ratio of its requests of that span and its part of the slack, times a safety factor.
 * The spans shorter than the window matter: without them, the extra sends for a crowd of requests
 * could fall into a window that none of these requests is in. Both are counted in small buckets,
 * extra sends over a little more than the span and requests over a little less.
 *
 * <p>The parts of the slack must not add up to more than the whole while the number of instances
 * changes. So a lower number of shareholders takes hold only after a window, when what the missing
 * ones may have spent has left it; a higher one at once. An instance does not know what its earlier
 * run spent, nor have the others heard of it at once: it has no slack in its first window and the
 * full part only after the second. A state machine for one thread.
 *
 * @since 0.2
 */
public final class SharedRetryBudget {

    private static final int WINDOW_BUCKETS = 20;

    /** The shortest span; a shorter one is within its bound if this one is. */
    private static final int SHORTEST_SPAN = WINDOW_BUCKETS / 2;

    /** The window, the bucket that it begins in, and one more. */
    private static final int EXTRA_BUCKETS = WINDOW_BUCKETS + 2;

    private RetryBudgetSettings mSettings;
    private final long mStartNanos;
    private final long mWindowNanos;
    private final long mBucketNanos;
    private final int[] mFirst = new int[EXTRA_BUCKETS];
    private final int[] mExtra = new int[EXTRA_BUCKETS];
    private long mBucket;
    private int mShareholders;
    private int mFewerShareholders;
    private long mFewerSinceNanos;

    /**
     * Starts with nothing counted.
     *
     * @param settings the bound
     * @param startNanos when this run of the instance started (not when the service appeared)
     */
    public SharedRetryBudget(RetryBudgetSettings settings, long startNanos) {
        mSettings = Assert.notNull(settings, "Settings of a retry budget");
        mStartNanos = startNanos;
        mWindowNanos = settings.window().toNanos();
        mBucketNanos = Math.max(1, (mWindowNanos + WINDOW_BUCKETS - 1) / WINDOW_BUCKETS);
    }

    /**
     * Takes another ratio and slack; what was sent stays counted.
     *
     * @param settings the bound, over the same window
     * @throws IllegalArgumentException if the window is another
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
     * Counts a request for the service, which may be sent once without asking.
     *
     * @param nowNanos the monotonic time
     */
    public void firstAttempt(long nowNanos) {
        advance(nowNanos);
        mFirst[slot(mBucket)]++;
    }

    /**
     * Takes one extra send out of the budget.
     *
     * @param nowNanos the monotonic time
     * @param shareholders how many instances may be sending now, this one included
     * @return whether there was one
     */
    public boolean tryRetry(long nowNanos, int shareholders) {
        if (left(nowNanos, shareholders) < 1) {
            return false;
        }
        mExtra[slot(mBucket)]++;
        return true;
    }

    /**
     * Tells how many extra sends are left now.
     *
     * @param nowNanos the monotonic time
     * @param shareholders how many instances may be sending now, this one included
     * @return the number, not negative, with a fraction that grows toward the next
     */
    public double left(long nowNanos, int shareholders) {
        advance(nowNanos);
        observe(nowNanos, shareholders);
        double slack = mSettings.slack() * slackPart(nowNanos) / mShareholders;
        return Math.max(0, mSettings.safety() * slack + lowestRest());
    }

    /**
     * Tells how the budget stands, for people.
     *
     * @param nowNanos the monotonic time
     * @param shareholders how many instances may be sending now, this one included
     * @return the figures of the window that ends now
     */
    public RetryBudgetUsage usage(long nowNanos, int shareholders) {
        double left = left(nowNanos, shareholders);
        int first = 0;
        int extra = 0;
        for (int span = 0; span < WINDOW_BUCKETS; span++) {
            first += mFirst[slot(mBucket - span)];
            extra += mExtra[slot(mBucket - span)];
        }
        double slack = mSettings.slack() * slackPart(nowNanos) / mShareholders;
        double bound = mSettings.safety() * (slack + mSettings.ratio() * first);
        return new RetryBudgetUsage(first, extra, bound, left);
    }

    /**
     * Tells by how many instances the slack is divided: the number given last, or a higher one of
     * the last window.
     *
     * @return the number, 0 if none has been given
     */
    public int shareholders() {
        return mShareholders;
    }

    /** Gives what the requests allow less what was sent, in the span where that is least. */
    private double lowestRest() {
        double perRequest = mSettings.safety() * mSettings.ratio();
        int extra = mExtra[slot(mBucket)] + mExtra[slot(mBucket - 1)];
        int first = 0;
        double lowest = Double.MAX_VALUE;
        for (int span = 1; span <= WINDOW_BUCKETS; span++) {
            first += mFirst[slot(mBucket - span + 1)];
            extra += mExtra[slot(mBucket - span - 1)];
            if (span >= SHORTEST_SPAN) {
                lowest = Math.min(lowest, perRequest * first - extra);
            }
        }
        return lowest;
    }

    /**
     * Takes note of how many instances may be sending, as each question about the budget does.
     *
     * @param nowNanos the monotonic time
     * @param shareholders how many instances may be sending now, this one included
     */
    public void observe(long nowNanos, int shareholders) {
        Assert.positive(shareholders, "A number of shareholders");
        if (shareholders >= mShareholders) {
            mShareholders = shareholders;
            mFewerShareholders = 0;
            return;
        }
        if (mFewerShareholders == 0) {
            mFewerSinceNanos = nowNanos;
        }
        mFewerShareholders = Math.max(mFewerShareholders, shareholders);
        if (nowNanos - mFewerSinceNanos >= mWindowNanos + mBucketNanos) {
            mShareholders = mFewerShareholders;
            mFewerShareholders = 0;
        }
    }

    private double slackPart(long nowNanos) {
        double windows = (double) (nowNanos - mStartNanos) / mWindowNanos;
        return Math.min(1, Math.max(0, windows - 1));
    }

    private void advance(long nowNanos) {
        long bucket = Math.max(0, nowNanos - mStartNanos) / mBucketNanos;
        if (bucket - mBucket >= EXTRA_BUCKETS) {
            mBucket = bucket - EXTRA_BUCKETS;
        }
        while (mBucket < bucket) {
            mBucket++;
            mFirst[slot(mBucket)] = 0;
            mExtra[slot(mBucket)] = 0;
        }
    }

    private static int slot(long bucket) {
        return Math.floorMod(bucket, EXTRA_BUCKETS);
    }
}
