package io.masticpond.core.serverlimit;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;

/**
 * View that an instance has of a server's limit, and the rate at which it may send to the server.
 *
 * @param server the server
 * @param service the server's service
 * @param perSecond the limit in requests per second, infinite once it is lifted
 * @param isOwn whether the limit comes from an answer to this instance rather than from a report of
 *     another instance
 * @param ageNanos the time in nanoseconds since the answer arrived that stated the limit
 * @param senders the number of instances that may send to the server
 * @param ownPerSecond the requests per second that this instance may send, 0 if it is not a sender
 * @since 0.2
 */
public record LimitView(
        BackendServerId server,
        ServiceId service,
        double perSecond,
        boolean isOwn,
        long ageNanos,
        int senders,
        double ownPerSecond) {

    /**
     * Determines whether the server is limited.
     *
     * @return {@code false} once its limit is lifted
     */
    public boolean isLimited() {
        return Double.isFinite(perSecond);
    }
}
