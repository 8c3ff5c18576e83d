package io.masticpond.core.limit;

/**
 * How this instance's part of a retry budget stands.
 *
 * @param requests the requests of the window that ends now
 * @param used the extra sends of that window
 * @param bound how many extra sends this instance may make in it
 * @param left how many it may make now; less than the bound minus the used ones if shorter spans or
 *     sends that have not quite left the window bind
 * @since 0.2
 */
public record RetryBudgetUsage(int requests, int used, double bound, double left) {}
