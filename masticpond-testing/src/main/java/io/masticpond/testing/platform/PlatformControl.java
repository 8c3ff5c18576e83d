package io.masticpond.testing.platform;

import io.javalin.config.RoutesConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpStatus;
import io.javalin.http.NotFoundResponse;
import io.masticpond.testing.control.ControlServers;

/** HTTP control routes of a stand-in platform, for faults, instances and counters. */
final class PlatformControl {

    private static final String FAULTS = "/control/faults";
    private static final String INSTANCE = "/control/instances/{id}";

    private final PlatformState mState;

    PlatformControl(PlatformState state) {
        mState = state;
    }

    void addTo(RoutesConfig routes) {
        routes.get(FAULTS, context -> context.json(mState.faults()));
        routes.put(FAULTS, this::putFaults);
        routes.delete(FAULTS, this::clearFaults);
        routes.put(INSTANCE, this::putInstance);
        routes.delete(INSTANCE, this::removeInstance);
        routes.get("/control/counts", context -> context.json(mState.counts()));
        routes.delete("/control/counts", this::resetCounts);
    }

    private void putFaults(Context context) {
        mState.setFaults(ControlServers.read(context, PlatformFaults.class));
        context.status(HttpStatus.NO_CONTENT);
    }

    private void clearFaults(Context context) {
        mState.setFaults(PlatformFaults.NONE);
        context.status(HttpStatus.NO_CONTENT);
    }

    private void putInstance(Context context) {
        InstanceBody body = ControlServers.read(context, InstanceBody.class);
        mState.putInstance(
                new PlatformInstance(
                        context.pathParam("id"), body.zone(), body.linkAddress(), body.leaving()));
        context.status(HttpStatus.NO_CONTENT);
    }

    private void removeInstance(Context context) {
        if (!mState.removeInstance(context.pathParam("id"))) {
            throw new NotFoundResponse("There is no such instance.");
        }
        context.status(HttpStatus.NO_CONTENT);
    }

    private void resetCounts(Context context) {
        mState.resetCounts();
        context.status(HttpStatus.NO_CONTENT);
    }

    /** Request body for an instance. */
    private record InstanceBody(String zone, String linkAddress, boolean leaving) {}
}
