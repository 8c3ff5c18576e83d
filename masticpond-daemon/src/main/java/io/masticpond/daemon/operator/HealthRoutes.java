package io.masticpond.daemon.operator;

import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;

/**
 * Routes for liveness and readiness, which need no token.
 *
 * @since 0.1
 */
public final class HealthRoutes implements OperatorRoutes {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;

    private final StatusSource mSource;

    /**
     * Creates the routes.
     *
     * @param source provides the status of this instance
     */
    public HealthRoutes(StatusSource source) {
        mSource = source;
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/health", context -> context.result("healthy\n"));
        config.routes.get("/ready", this::showReadiness);
    }

    private void showReadiness(Context context) {
        StatusAnswer status = mSource.status();
        context.status(status.ready() ? OK : UNAVAILABLE);
        context.result(status.ready() ? "ready\n" : String.join("\n", status.reasons()) + "\n");
    }
}
