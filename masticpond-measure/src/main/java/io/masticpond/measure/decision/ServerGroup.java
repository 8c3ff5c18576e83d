package io.masticpond.measure.decision;

import io.masticpond.core.id.ServiceId;

/**
 * Group of the servers of one service.
 *
 * @param service the service
 * @param counts the number of servers in each zone
 * @param slots the number of requests that a server executes at a time
 * @param queueCapacity the maximum number of requests that wait at a server
 * @param cacheCapacity the maximum number of objects that a server caches
 */
record ServerGroup(
        ServiceId service, int[] counts, int slots, int queueCapacity, int cacheCapacity) {}
