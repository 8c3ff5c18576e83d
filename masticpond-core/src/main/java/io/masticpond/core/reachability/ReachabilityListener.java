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
     * Called when a service becomes unreachable or is reachable again; suspicions are not reported.
     *
     * @param view the new view
     * @param formerNanos the time for which it was in the former state, in nanoseconds
     */
    void onChanged(ReachabilityView view, long formerNanos);
}
