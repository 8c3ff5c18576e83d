package io.masticpond.core.statement;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.support.Assert;

/**
 * Statement of a backend server together with the server that made it.
 *
 * @param server the server
 * @param statement the statement
 * @since 0.3
 */
public record AttributedStatement(BackendServerId server, ServerStatement statement) {

    /** Checks that no component is {@code null}. */
    public AttributedStatement {
        Assert.notNull(server, "A backend server id");
        Assert.notNull(statement, "A statement");
    }
}
