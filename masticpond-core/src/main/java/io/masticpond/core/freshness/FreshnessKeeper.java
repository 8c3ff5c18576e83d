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
public final class FreshnessKeeper {

    /** The age at which the first of a region renews its proof. */
    static final Duration RENEWAL = Duration.ofMillis(900);

    /** The age from which those who do not read ask who does. */
    private static final long ASKED = Duration.ofMillis(700).toNanos();

    /** By so much later each of the next few does. */
    private static final Duration FOR_EACH_RANK = Duration.ofMillis(700);

    /**
     * From this rank on all wait equally long, so that a lost store is not asked by all at once.
     */
    private static final int LAST_RANK = 4;

    /** Who is not the first reads no more often than this while nothing comes of it. */
    private static final Duration BETWEEN_READS = Duration.ofSeconds(4);

    /** The age from which peers of other regions are asked too. */
    private static final Duration FAR = Duration.ofMillis(1_800);

    private FreshnessProof mHeld;
    private FreshnessProof mWaiting;
    private long mInForce;
    private Moment mRead;

    /**
     * Takes a proof, own or heard.
     *
     * @param proof the proof
     * @param now the present moment
     */
    public void take(FreshnessProof proof, Moment now) {
        Assert.notNull(proof, "A proof");
        if (proof.revision() <= mInForce) {
            mHeld = younger(mHeld, proof, now);
        } else {
            mWaiting = younger(mWaiting, proof, now);
        }
    }

    /**
     * Hears which revision of the configuration is in force here.
     *
     * @param revision the revision, never lower than before
     * @param now the present moment
     */
    public void inForce(long revision, Moment now) {
        mInForce = Math.max(mInForce, revision);
        if (mWaiting != null && mWaiting.revision() <= mInForce) {
            mHeld = younger(mHeld, mWaiting, now);
            mWaiting = null;
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
    public Optional<FreshnessProof> held() {
        return Optional.ofNullable(mHeld);
    }

    /**
     * Tells whether this instance must read the store now; if so, it counts as having done it.
     *
     * @param rank its place in the order of its region, 0 being the first
     * @param now the present moment
     * @return whether it must
     */
    public boolean mustRead(int rank, Moment now) {
        long waits = Math.min(rank, LAST_RANK) * FOR_EACH_RANK.toNanos();
        Duration between = rank == 0 ? RENEWAL : BETWEEN_READS;
        boolean isTooSoon = mRead != null && mRead.nanosUntil(now) < between.toNanos();
        if (isTooSoon || !isOlder(RENEWAL.toNanos() + waits, now)) {
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
    public boolean mustAsk(Moment now) {
        return isOlder(ASKED, now);
    }

    /**
     * Tells whether peers of other regions must be asked.
     *
     * @param now the present moment
     * @return whether they must
     */
    public boolean mustAskFar(Moment now) {
        return isOlder(FAR.toNanos(), now);
    }

    private boolean isOlder(long nanos, Moment now) {
        return mHeld == null || mHeld.ageNanos(now) >= nanos;
    }
}
