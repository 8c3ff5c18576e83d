package io.masticpond.measure.rate;

import io.masticpond.core.workspace.RateLimit;

/**
 * How large a fleet is, and how large the workspace whose rate it keeps.
 *
 * @param instances how many instances
 * @param regions how many regions, of two availability zones each
 * @param typicalRate how many requests a second usually come
 */
record RateScenario(int instances, int regions, double typicalRate) {

    /** Rates are stated so much above the usual load. */
    private static final double RATE_OF_USUAL = 1.6;

    int zones() {
        return 2 * regions;
    }

    RateLimit limit() {
        return new RateLimit(RATE_OF_USUAL * typicalRate, RATE_OF_USUAL * typicalRate);
    }
}
