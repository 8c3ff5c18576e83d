package io.masticpond.entry.request;

/**
 * Times at which the data on which requests are decided was last confirmed, on the monotonic clock.
 *
 * @param routingNanos when the routes were confirmed
 * @param registryNanos when the backend servers were confirmed
 * @since 0.2
 */
public record UpdateTimes(long routingNanos, long registryNanos) {}
