package io.masticpond.measure.rate;

import io.masticpond.core.workspace.RateLimit;

/**
 * Size of a fleet, and of the workspace whose rate it limits.
 *
 * @param instances the number of instances
 * @param regions the number of regions, of two availability zones each
 * @param typicalRate the typical load of the workspace, in requests a second
 */
record RateScenario(int instances, int regions, double typicalRate) {

    /** Ratio of the configured rate to the typical load. */
    private static final double RATE_TO_TYPICAL_LOAD = 1.6;

    int zones() {
        return 2 * regions;
    }

    RateLimit limit() {
        return new RateLimit(
                RATE_TO_TYPICAL_LOAD * typicalRate, RATE_TO_TYPICAL_LOAD * typicalRate);
    }
}
