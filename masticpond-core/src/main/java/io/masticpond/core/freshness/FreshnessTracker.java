package io.masticpond.core.freshness;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import java.time.Duration;
import java.util.Optional;

/**
 * State machine that keeps the most recent proof that the routing configuration of this instance is
 * current, and determines when this instance must renew it. Not thread-safe.
 *
 * <p>A proof becomes effective once its revision is in force in this instance; until then it is
 * pending. One instance of a region reads the store for all instances of the region. Each further
 * instance in the region's order does so only when the proof is older than it would be if the
 * instances before it had renewed it.
 *
 * @since 0.2
 */
public final class FreshnessTracker {

    /** The age of the proof at which the first instance of a region renews it. */
    static final Duration RENEWAL_AGE = Duration.ofMillis(900);

    /**
     * The age of the proof from which the other instances query the first instance of the region.
     */
    private static final long REGION_QUERY_AGE = Duration.ofMillis(700).toNanos();

    /**
     * The additional age for each rank, up to {@link #MAXIMUM_DELAY_RANK}, at which an instance
     * renews the proof. The delay that grows with the rank keeps the instances of a region from
     * reading an unavailable store all at once.
     */
    private static final Duration DELAY_PER_RANK = Duration.ofMillis(700);

    /**
     * The rank from which the delay no longer grows. Instances of this and of higher ranks read the
     * store at the same age of the proof, and repeat failed reads at {@link #READ_INTERVAL}.
     */
    private static final int MAXIMUM_DELAY_RANK = 4;

    /**
     * The minimum interval between reads of an instance that is not the first, while its reads
     * fail.
     */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(4);

    /** The age of the proof from which peers of other regions are queried as well. */
    private static final Duration OTHER_REGIONS_QUERY_AGE = Duration.ofMillis(1_800);

    private FreshnessProof mYoungest;
    private FreshnessProof mPending;
    private long mAppliedRevision;
    private Moment mLastRead;

    /**
     * Adds a proof that this instance obtained or received from a peer.
     *
     * @param proof the proof
     * @param now the current moment
     */
    public void addProof(FreshnessProof proof, Moment now) {
        Assert.notNull(proof, "A proof");
        if (proof.revision() <= mAppliedRevision) {
            mYoungest = younger(mYoungest, proof, now);
        } else {
            mPending = younger(mPending, proof, now);
        }
    }

    /**
     * Handles the application of a revision of the configuration by this instance.
     *
     * @param revision the revision now in force; a lower one than before is ignored
     * @param now the current moment
     */
    public void onRevisionApplied(long revision, Moment now) {
        mAppliedRevision = Math.max(mAppliedRevision, revision);
        if (mPending != null && mPending.revision() <= mAppliedRevision) {
            mYoungest = younger(mYoungest, mPending, now);
            mPending = null;
        }
    }

    private static FreshnessProof younger(
            FreshnessProof current, FreshnessProof candidate, Moment now) {
        return current == null || candidate.ageNanos(now) < current.ageNanos(now)
                ? candidate
                : current;
    }

    /**
     * Returns the most recent effective proof.
     *
     * @return the proof, or empty if there is none yet
     */
    public Optional<FreshnessProof> youngestProof() {
        return Optional.ofNullable(mYoungest);
    }

    /**
     * Determines whether this instance must read the store now. If so, the read is recorded as
     * started.
     *
     * @param rank the position of this instance in the order of its region, starting at 0
     * @param now the current moment
     * @return {@code true} if it must
     */
    public boolean mustReadStore(int rank, Moment now) {
        long delayNanos = Math.min(rank, MAXIMUM_DELAY_RANK) * DELAY_PER_RANK.toNanos();
        Duration interval = rank == 0 ? RENEWAL_AGE : READ_INTERVAL;
        boolean isTooSoon = mLastRead != null && mLastRead.nanosUntil(now) < interval.toNanos();
        if (isTooSoon || !isOlder(RENEWAL_AGE.toNanos() + delayNanos, now)) {
            return false;
        }
        mLastRead = now;
        return true;
    }

    /**
     * Determines whether the first instance of the region must be queried, since it may have
     * renewed the proof.
     *
     * @param now the current moment
     * @return {@code true} if it must
     */
    public boolean mustQueryRegion(Moment now) {
        return isOlder(REGION_QUERY_AGE, now);
    }

    /**
     * Determines whether peers of other regions must be queried.
     *
     * @param now the current moment
     * @return {@code true} if they must be queried
     */
    public boolean mustQueryOtherRegions(Moment now) {
        return isOlder(OTHER_REGIONS_QUERY_AGE.toNanos(), now);
    }

    private boolean isOlder(long nanos, Moment now) {
        return mYoungest == null || mYoungest.ageNanos(now) >= nanos;
    }
}
