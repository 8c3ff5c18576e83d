package io.masticpond.core.statement;

import io.masticpond.core.id.BackendServerId;

/**
 * Takes what the withdrawals of servers have to tell.
 *
 * @since 0.2
 */
public interface WithdrawalListener {

    /**
     * Something else is believed of a server.
     *
     * @param belief what is believed now
     */
    void onViewChanged(WithdrawalView belief);

    /**
     * A server has stated something that means nothing, for the first time.
     *
     * @param server the server
     * @param part what it was about
     */
    void onMalformed(BackendServerId server, StatementPart part);
}
