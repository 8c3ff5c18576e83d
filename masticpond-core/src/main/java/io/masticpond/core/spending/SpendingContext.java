package io.masticpond.core.spending;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.time.TimeSource;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * Collaborators and settings shared by all accounts of one incarnation.
 *
 * @param holder the incarnation
 * @param policy the policy that sizes allotments
 * @param sink the receiver of calls to the platform
 * @param timeSource the clocks
 * @param random the source of jitter
 * @param sequence the source of change numbers
 */
record SpendingContext(
        Incarnation holder,
        AllotmentPolicy policy,
        LedgerSink sink,
        TimeSource timeSource,
        UniformRandomProvider random,
        LedgerSequence sequence) {}
