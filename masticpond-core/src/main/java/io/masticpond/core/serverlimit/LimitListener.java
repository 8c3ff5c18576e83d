package io.masticpond.core.serverlimit;

import io.masticpond.core.id.BackendServerId;

/**
 * Takes what the limits of servers have to tell.
 *
 * @since 0.2
 */
public interface LimitListener {

    /**
     * Something else is believed of a server's limit.
     *
     * @param belief what is believed now
     */
    void onViewChanged(LimitView belief);

    /**
     * An answer to this instance changed what is believed, so the others should hear of it.
     *
     * @param report what the answer said
     */
    void onReport(LimitReport report);

    /**
     * A server has named something that is no limit, for the first time.
     *
     * @param server the server
     */
    void onMalformed(BackendServerId server);
}
