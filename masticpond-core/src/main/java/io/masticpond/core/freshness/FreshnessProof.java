package io.masticpond.core.freshness;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;

/**
 * Proof that the newest routing configuration at a given moment was that of a given revision. The
 * moment precedes the read of the store that returned the revision.
 *
 * @param moment the moment for which the proof holds
 * @param revision the revision of the document that the store contained, or 0 if it contained none
 * @since 0.2
 */
public record FreshnessProof(Moment moment, long revision) {

    /** Validates the components. */
    public FreshnessProof {
        Assert.notNull(moment, "A moment");
        Assert.notNegative(revision, "A revision");
    }

    /**
     * Returns the age of the proof.
     *
     * @param now the current moment
     * @return the age in nanoseconds
     */
    public long ageNanos(Moment now) {
        return moment.nanosUntil(now);
    }
}
