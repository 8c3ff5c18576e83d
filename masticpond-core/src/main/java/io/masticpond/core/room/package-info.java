/**
 * Shift of load between regions by factors for the servers of a region, which are computed from the
 * predicted utilization of each region. Must not depend on connections, messages and HTTP.
 */
package io.masticpond.core.room;
