package io.masticpond.daemon.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.ConflictResponse;
import io.javalin.http.Context;
import io.javalin.http.NotFoundResponse;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.support.Assert;

/**
 * Routes that show the status of this instance, drain it, and cancel a drain.
 *
 * <p>A drain of another instance is rejected with 404 and not forwarded: the command line tool
 * finds the address of the target instance, so no instance needs a token for another.
 *
 * @since 0.1
 */
public final class StatusRoutes implements OperatorRoutes {

    private final InstanceId mInstance;
    private final StatusSource mSource;
    private final DrainControl mDrainControl;
    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Creates the routes.
     *
     * @param instance the id of this instance
     * @param source provides the status
     * @param drainControl drains this instance and cancels a drain
     */
    public StatusRoutes(InstanceId instance, StatusSource source, DrainControl drainControl) {
        mInstance = Assert.notNull(instance, "An instance id");
        mSource = Assert.notNull(source, "A source of the status");
        mDrainControl = Assert.notNull(drainControl, "A drain control");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/v1/status", this::show);
        config.routes.post("/v1/instances/{id}/drain", this::drain);
        config.routes.post("/v1/instances/{id}/undrain", this::undrain);
    }

    private void show(Context context) throws JsonProcessingException {
        context.contentType("application/json").result(mMapper.writeValueAsBytes(mSource.status()));
    }

    private void drain(Context context) throws JsonProcessingException {
        checkTarget(context);
        mDrainControl.drain();
        show(context);
    }

    private void undrain(Context context) throws JsonProcessingException {
        checkTarget(context);
        if (!mDrainControl.undrain()) {
            throw new ConflictResponse("The instance is stopping already.");
        }
        show(context);
    }

    private void checkTarget(Context context) {
        if (!context.pathParam("id").equals(mInstance.value())) {
            throw new NotFoundResponse(
                    "This is instance %s; ask the instance that is meant.".formatted(mInstance));
        }
    }
}
