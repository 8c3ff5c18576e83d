package io.masticpond.core.statement;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;

/**
 * View that an instance has of a server which has stated that it accepts no requests.
 *
 * @param server the server
 * @param service the server's service
 * @param state whether it accepts requests
 * @param ageNanos the time in nanoseconds since the answer arrived that stated it
 * @param leftNanos the remaining time of its pause in nanoseconds, 0 if it has none
 * @since 0.2
 */
public record WithdrawalView(
        BackendServerId server, ServiceId service, State state, long ageNanos, long leftNanos) {

    /**
     * States of a withdrawal.
     *
     * @since 0.2
     */
    public enum State {
        /** The server accepts no requests any more. */
        LEAVING,
        /** The server accepts no requests until its pause is over. */
        PAUSED,
        /** The server's statement is no longer in force. */
        RETURNED
    }
}
