package io.masticpond.core.statement;

import io.masticpond.core.id.BackendServerId;

/**
 * Callback interface for withdrawals of backend servers.
 *
 * @since 0.2
 */
public interface WithdrawalListener {

    /**
     * Called when this instance's view of a server has changed.
     *
     * @param view the new view
     */
    void onViewChanged(WithdrawalView view);

    /**
     * Called when a server has sent a malformed header of a kind for the first time.
     *
     * @param server the server
     * @param part the part of the statement
     */
    void onMalformed(BackendServerId server, StatementPart part);
}
