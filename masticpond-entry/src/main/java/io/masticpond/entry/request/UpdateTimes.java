package io.masticpond.entry.request;

/**
 * When the news that requests are decided on were last confirmed, on the monotonic clock.
 *
 * @param routingNanos when the routes were
 * @param registryNanos when the backend servers were
 * @since 0.2
 */
public record UpdateTimes(long routingNanos, long registryNanos) {}
