package io.masticpond.testing.backend;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.Handler;
import io.javalin.http.HttpStatus;
import io.javalin.http.NotFoundResponse;
import io.masticpond.core.support.Assert;
import io.masticpond.testing.control.ControlServers;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * HTTP control routes of a fleet of stand-in backend servers, for faults, drains and counters.
 *
 * @since 0.1
 */
public final class BackendControl implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String SERVER = "/control/servers/{id}";

    private final BackendFleet mFleet;
    private final Javalin mServer;

    /**
     * Creates the routes and starts to listen on loopback.
     *
     * @param fleet the servers
     * @param port the port, or 0 for a free port
     */
    public BackendControl(BackendFleet fleet, int port) {
        mFleet = Assert.notNull(fleet, "A fleet");
        mServer = Javalin.create(this::configure).start(LOOPBACK, port);
    }

    /**
     * Returns the address of the routes.
     *
     * @return the address as "ip:port"
     */
    public String address() {
        return LOOPBACK + ":" + mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private void configure(JavalinConfig config) {
        ControlServers.configure(config);
        config.routes.get("/control/counts", this::counts);
        config.routes.delete("/control/counts", this::resetCounts);
        config.routes.get("/control/executions/{operation}", this::executions);
        config.routes.get(SERVER, context -> context.json(server(context).counts()));
        config.routes.put(SERVER + "/faults", this::putFaults);
        config.routes.delete(
                SERVER + "/faults", change(each -> each.setFaults(BackendServerFaults.NONE)));
        config.routes.put(SERVER + "/drain", this::drain);
        config.routes.delete(SERVER + "/drain", change(BackendServerStandIn::undrain));
        config.routes.post(SERVER + "/crash", change(BackendServerStandIn::crash));
        config.routes.post(SERVER + "/start", change(BackendServerStandIn::start));
    }

    private void counts(Context context) {
        Map<String, BackendServerCounts> servers = new LinkedHashMap<>();
        for (BackendServerStandIn each : mFleet.servers()) {
            servers.put(each.id(), each.counts());
        }
        ExecutionLog log = mFleet.log();
        context.json(
                new FleetCounts(
                        log.executions(), log.operations(), log.duplicates().size(), servers));
    }

    private void resetCounts(Context context) {
        mFleet.servers().forEach(BackendServerStandIn::resetCounts);
        mFleet.log().clear();
        context.status(HttpStatus.NO_CONTENT);
    }

    private void executions(Context context) {
        int executions = mFleet.log().executionsOfOperation(context.pathParam("operation"));
        context.json(Map.of("executions", executions));
    }

    private void putFaults(Context context) {
        server(context).setFaults(ControlServers.read(context, BackendServerFaults.class));
        context.status(HttpStatus.NO_CONTENT);
    }

    private void drain(Context context) {
        server(context).drain(ControlServers.read(context, DrainPlan.class));
        context.status(HttpStatus.NO_CONTENT);
    }

    private Handler change(Consumer<BackendServerStandIn> action) {
        return context -> {
            action.accept(server(context));
            context.status(HttpStatus.NO_CONTENT);
        };
    }

    private BackendServerStandIn server(Context context) {
        return mFleet.server(context.pathParam("id"))
                .orElseThrow(() -> new NotFoundResponse("There is no such backend server."));
    }

    /** Counters of all servers. */
    private record FleetCounts(
            long executions,
            int operations,
            int duplicateOperations,
            Map<String, BackendServerCounts> servers) {}
}
