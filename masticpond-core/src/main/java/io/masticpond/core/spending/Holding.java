package io.masticpond.core.spending;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.support.Assert;

/**
 * Holding of one incarnation in a ledger: the sum of its allotments less the amounts it returned.
 *
 * @param holder the incarnation
 * @param allottedMicros the net sum in millionths of the operators' currency unit
 * @param sequence the number of the holder's last change, by which it recognizes its own writes
 * @param revision the revision of the ledger that the last change produced
 * @since 0.1
 */
public record Holding(Incarnation holder, long allottedMicros, long sequence, long revision) {

    /** Validates the components. */
    public Holding {
        Assert.notNull(holder, "The holder of an allotment");
        Assert.notNegative(allottedMicros, "A sum of allotments");
        Assert.positive(sequence, "The sequence of a change");
        Assert.positive(revision, "The revision of a change");
    }
}
