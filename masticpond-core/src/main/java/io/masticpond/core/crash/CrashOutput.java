package io.masticpond.core.crash;

/**
 * Callback interface for messages to other instances and for changes of this instance's view of
 * crashing requests.
 *
 * @since 0.2
 */
public interface CrashOutput {

    /**
     * Sends a message to the few instances that aggregate what all instances observed of the
     * request.
     *
     * @param message the message
     */
    void sendToAggregators(CrashMessage message);

    /**
     * Sends a message to all instances.
     *
     * @param message the message
     */
    void sendToAll(CrashMessage message);

    /**
     * Verifies an end that another instance reported. If the server accepts a connection of this
     * instance, {@link CrashingRequests#refute} is to be called.
     *
     * @param end the end, with ages as of now
     */
    void verify(CrashMessage.ServerEnd end);

    /**
     * Notifies that this instance's view of a request has changed.
     *
     * @param view the new view
     */
    void viewChanged(CrashView view);
}
