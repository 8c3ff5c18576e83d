package io.masticpond.core.capacity;

/**
 * Listener for services that become full. Called on the traffic thread; must not block.
 *
 * @since 0.3
 */
@FunctionalInterface
public interface CapacityListener {

    /** Listener that does nothing. */
    CapacityListener NONE = view -> {};

    /**
     * Called when a service became full or is no longer full.
     *
     * @param view the load of the service, with its new state
     */
    void onFullnessChanged(ServiceLoadView view);
}
