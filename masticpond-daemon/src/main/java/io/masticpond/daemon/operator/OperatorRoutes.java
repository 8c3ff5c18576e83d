package io.masticpond.daemon.operator;

import io.javalin.config.JavalinConfig;

/**
 * Strategy interface for the routes that a component adds to the operator server.
 *
 * <p>All routes except {@link OperatorServer#OPEN_PATHS} require a token. Handlers run on threads
 * of the server: they submit work to an event loop and answer through {@code Context.future}.
 *
 * @since 0.1
 */
public interface OperatorRoutes {

    /**
     * Adds the routes.
     *
     * @param config the configuration of the server, which has not started yet
     */
    void addTo(JavalinConfig config);
}
