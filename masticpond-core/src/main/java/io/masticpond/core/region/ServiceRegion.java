package io.masticpond.core.region;

import io.masticpond.core.id.RegionId;

/**
 * What the configuration says of a region for one service.
 *
 * @param region the region
 * @param isOwn whether it is the region of this instance
 * @param slots the slots of the service's backend servers there
 * @param priceMicros the price of a request there
 * @param roundTripNanos the time to the region and back
 */
record ServiceRegion(
        RegionId region, boolean isOwn, int slots, long priceMicros, long roundTripNanos) {}
