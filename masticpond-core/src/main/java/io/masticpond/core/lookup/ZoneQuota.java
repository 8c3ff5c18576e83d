package io.masticpond.core.lookup;

import io.masticpond.core.id.ZoneId;

/**
 * Quota of an availability zone in an answer.
 *
 * @param zone the availability zone
 * @param cumulativeCount the number of instances in the answer up to and including those of this
 *     zone
 */
record ZoneQuota(ZoneId zone, int cumulativeCount) {}
