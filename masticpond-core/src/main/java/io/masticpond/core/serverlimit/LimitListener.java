package io.masticpond.core.serverlimit;

import io.masticpond.core.id.BackendServerId;

/**
 * Callback interface for changes in the limits of backend servers.
 *
 * @since 0.2
 */
public interface LimitListener {

    /**
     * Called when this instance's view of a server's limit has changed.
     *
     * @param view the new view
     */
    void onViewChanged(LimitView view);

    /**
     * Called when an answer to this instance has changed its view, so that the other instances
     * should receive a report.
     *
     * @param report the statement of the answer
     */
    void onReport(LimitReport report);

    /**
     * Called when a server has sent a malformed limit for the first time.
     *
     * @param server the server
     */
    void onMalformed(BackendServerId server);
}
