package io.masticpond.core.reachability;

/**
 * Callback interface for changes in whether services are reachable.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface ReachabilityListener {

    /** Listener that ignores all changes. */
    ReachabilityListener NONE = (view, formerNanos) -> {};

    /**
     * Called when a service becomes unreachable or is reachable again; not called for suspicions.
     *
     * @param view the new view
     * @param formerNanos the time for which it was in the former state, in nanoseconds
     */
    void onChanged(ReachabilityView view, long formerNanos);

    /**
     * Called when a service is suspected, or when a suspicion is refuted.
     *
     * @param view the new view
     * @param formerNanos the time for which it was in the former state, in nanoseconds
     */
    default void onSuspicionChanged(ReachabilityView view, long formerNanos) {}
}
