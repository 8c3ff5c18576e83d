package io.masticpond.core.serverlimit;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;

/**
 * What an instance believes of a server's limit, and what it may send there.
 *
 * @param server the server
 * @param service its service
 * @param perSecond the limit, infinite once it is lifted
 * @param isOwn whether an answer to this instance said so, not another instance
 * @param ageNanos how long ago the answer arrived that said so
 * @param senders how many instances may send
 * @param ownPerSecond the requests a second that this instance may send, 0 if it is no sender
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
     * Tells whether the server is limited.
     *
     * @return false once its limit is lifted
     */
    public boolean isLimited() {
        return Double.isFinite(perSecond);
    }
}
