package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Statement that the newest change of a kind was made at a given revision, as of a moment in the
 * past.
 *
 * @param category the kind
 * @param age how long ago the store was read; an upper bound
 * @param revision the revision of the newest change, 0 if there was none
 * @since 0.3
 */
public record CopyProof(Category category, Duration age, long revision) {

    /** Validates the components. */
    public CopyProof {
        Assert.notNull(category, "A category");
        Assert.notNegative(age.toNanos(), "The age of a proof");
        Assert.notNegative(revision, "A revision");
    }
}
