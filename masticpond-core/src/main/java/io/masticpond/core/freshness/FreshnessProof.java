package io.masticpond.core.freshness;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;

/**
 * Proves that at a moment the newest routing configuration was the one of a revision: the moment
 * lies before the read of the store that showed it.
 *
 * @param moment the moment
 * @param revision the revision of the document that the store then held, 0 if it held none
 * @since 0.2
 */
public record FreshnessProof(Moment moment, long revision) {

    /** Checks the parts. */
    public FreshnessProof {
        Assert.notNull(moment, "A moment");
        Assert.notNegative(revision, "A revision");
    }

    /**
     * Tells how old the proof is.
     *
     * @param now the present moment
     * @return its age in nanoseconds
     */
    public long ageNanos(Moment now) {
        return moment.nanosUntil(now);
    }
}
