package io.masticpond.core.limit;

/**
 * Usage of this instance's part of a retry budget.
 *
 * @param requests the number of requests in the window that ends now
 * @param used the number of retries in that window
 * @param bound the number of retries that this instance may send in it
 * @param left the number of retries that it may send now; less than the bound minus the used ones
 *     if a shorter span, or retries that have not fully left the window, are the stricter limit
 * @since 0.2
 */
public record RetryBudgetUsage(int requests, int used, double bound, double left) {}
