package io.masticpond.measure.decision;

import io.masticpond.core.id.ServiceId;

/**
 * The servers of a service.
 *
 * @param service the service
 * @param counts how many there are in each zone
 * @param slots how many requests one runs at a time
 * @param queue how many wait there at most
 * @param keeps how many objects one knows at most
 */
record ServerGroup(ServiceId service, int[] counts, int slots, int queue, int keeps) {}
