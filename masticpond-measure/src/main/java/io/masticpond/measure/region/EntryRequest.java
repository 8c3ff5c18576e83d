package io.masticpond.measure.region;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.RequestHead;

/**
 * Request sent by a client.
 *
 * @param head the part of the request on which decisions are based
 * @param clientZone the availability zone closest to the client
 * @param origin the region closest to the client
 * @param workNanos the service time at a backend server with a warm cache, in nanoseconds
 */
record EntryRequest(RequestHead head, ZoneId clientZone, RegionId origin, long workNanos) {}
