package io.masticpond.core.freshness;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import java.time.Duration;
import java.util.Optional;

/**
 * Keeps the youngest proof that this instance's routing configuration is current, and says when it
 * must be renewed and by whom. A state machine for one thread.
 *
 * <p>A proof holds here once the revision that it names is in force here; until then it waits. One
 * instance of a region reads the store for all of them; each further one in the region's order does
 * so only when the proof has grown older than those before it should have let it.
 *
 * @since 0.2
 */
public final class FreshnessTracker {

    /** The age at which the first of a region renews its proof. */
    static final Duration RENEWAL_AGE = Duration.ofMillis(900);

    /** The age from which those who do not read ask who does. */
    private static final long REGION_QUERY_AGE = Duration.ofMillis(700).toNanos();

    /** By so much later each of the next few does. */
    private static final Duration DELAY_PER_RANK = Duration.ofMillis(700);

    /**
     * From this rank on all wait equally long, so that a lost store is not asked by all at once.
     */
    private static final int LAST_RANK = 4;

    /** Who is not the first reads no more often than this while nothing comes of it. */
    private static final Duration READ_INTERVAL = Duration.ofSeconds(4);

    /** The age from which peers of other regions are asked too. */
    private static final Duration OTHER_REGIONS_QUERY_AGE = Duration.ofMillis(1_800);

    private FreshnessProof mYoungest;
    private FreshnessProof mPending;
    private long mInForce;
    private Moment mRead;

    /**
     * Takes a proof, own or heard.
     *
     * @param proof the proof
     * @param now the present moment
     */
    public void addProof(FreshnessProof proof, Moment now) {
        Assert.notNull(proof, "A proof");
        if (proof.revision() <= mInForce) {
            mYoungest = younger(mYoungest, proof, now);
        } else {
            mPending = younger(mPending, proof, now);
        }
    }

    /**
     * Hears which revision of the configuration is in force here.
     *
     * @param revision the revision, never lower than before
     * @param now the present moment
     */
    public void onRevisionApplied(long revision, Moment now) {
        mInForce = Math.max(mInForce, revision);
        if (mPending != null && mPending.revision() <= mInForce) {
            mYoungest = younger(mYoungest, mPending, now);
            mPending = null;
        }
    }

    private static FreshnessProof younger(FreshnessProof one, FreshnessProof other, Moment now) {
        return one == null || other.ageNanos(now) < one.ageNanos(now) ? other : one;
    }

    /**
     * Gives the youngest proof.
     *
     * @return the proof, if there ever was one
     */
    public Optional<FreshnessProof> youngestProof() {
        return Optional.ofNullable(mYoungest);
    }

    /**
     * Tells whether this instance must read the store now; if so, it counts as having done it.
     *
     * @param rank its place in the order of its region, 0 being the first
     * @param now the present moment
     * @return whether it must
     */
    public boolean mustReadStore(int rank, Moment now) {
        long waits = Math.min(rank, LAST_RANK) * DELAY_PER_RANK.toNanos();
        Duration between = rank == 0 ? RENEWAL_AGE : READ_INTERVAL;
        boolean isTooSoon = mRead != null && mRead.nanosUntil(now) < between.toNanos();
        if (isTooSoon || !isOlder(RENEWAL_AGE.toNanos() + waits, now)) {
            return false;
        }
        mRead = now;
        return true;
    }

    /**
     * Tells whether the first of the region must be asked: it may have renewed its proof since.
     *
     * @param now the present moment
     * @return whether it must
     */
    public boolean mustQueryRegion(Moment now) {
        return isOlder(REGION_QUERY_AGE, now);
    }

    /**
     * Tells whether peers of other regions must be asked.
     *
     * @param now the present moment
     * @return whether they must
     */
    public boolean mustQueryOtherRegions(Moment now) {
        return isOlder(OTHER_REGIONS_QUERY_AGE.toNanos(), now);
    }

    private boolean isOlder(long nanos, Moment now) {
        return mYoungest == null || mYoungest.ageNanos(now) >= nanos;
    }
}
