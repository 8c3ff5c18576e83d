package io.masticpond.core.region;

import io.masticpond.core.id.RegionId;

/**
 * Configuration of a region for one service.
 *
 * @param region the region
 * @param isOwn whether the region is that of this instance
 * @param slots the number of slots of the service's backend servers there
 * @param priceMicros the price of a request there, in micros
 * @param roundTripNanos the round-trip time to the region, in nanoseconds
 */
record ServiceRegion(
        RegionId region, boolean isOwn, int slots, long priceMicros, long roundTripNanos) {}
