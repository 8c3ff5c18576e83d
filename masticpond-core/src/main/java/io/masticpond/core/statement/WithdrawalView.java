package io.masticpond.core.statement;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;

/**
 * What an instance believes of a server that has said that it takes no requests.
 *
 * @param server the server
 * @param service its service
 * @param state whether it takes any
 * @param ageNanos how long ago the answer arrived that said so
 * @param leftNanos how long its pause still lasts, 0 if it has none
 * @since 0.2
 */
public record WithdrawalView(
        BackendServerId server, ServiceId service, State state, long ageNanos, long leftNanos) {

    /**
     * Whether a server takes requests.
     *
     * @since 0.2
     */
    public enum State {
        /** It takes none any more. */
        LEAVING,
        /** It takes none for a time. */
        PAUSED,
        /** What it had said does not hold any more. */
        RETURNED
    }
}
