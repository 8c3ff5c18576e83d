package io.masticpond.measure.drain;

import java.util.Map;

/**
 * Results of one round of the benchmark.
 *
 * @param outcomes the outcome of each server that left
 * @param incompleteRequests the number of requests without a complete answer, as their senders saw
 *     it
 * @param answered the number of requests that were answered
 * @param refused the number of requests that were refused before their execution
 */
record DrainRound(
        Map<DrainKind, DrainOutcome> outcomes,
        long incompleteRequests,
        long answered,
        long refused) {}
