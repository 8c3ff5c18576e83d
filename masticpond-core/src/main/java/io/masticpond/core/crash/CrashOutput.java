package io.masticpond.core.crash;

/**
 * Takes what this instance has to tell of requests under which servers end.
 *
 * @since 0.2
 */
public interface CrashOutput {

    /**
     * Tells the few instances that put together what all saw of this request.
     *
     * @param message the message
     */
    void sendToAggregators(CrashMessage message);

    /**
     * Tells all instances.
     *
     * @param message the message
     */
    void sendToAll(CrashMessage message);

    /**
     * Hears that something else is believed of a request.
     *
     * @param belief what is believed now
     */
    void viewChanged(CrashView belief);
}
