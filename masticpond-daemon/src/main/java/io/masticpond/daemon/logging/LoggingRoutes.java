package io.masticpond.daemon.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonMappingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.BadRequestResponse;
import io.javalin.http.Context;
import io.javalin.http.NotFoundResponse;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.operator.OperatorRoutes;
import java.io.IOException;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Operator routes for {@code /v1/logging}, which show and change log levels at run time.
 *
 * @since 0.1
 */
public final class LoggingRoutes implements OperatorRoutes {

    private static final Logger sLogger = LoggerFactory.getLogger(LoggingRoutes.class);

    private final Logging mLogging;
    private final ObjectMapper mMapper = new ObjectMapper();

    /**
     * Creates new routes.
     *
     * @param logging the logging set-up to show and change
     */
    public LoggingRoutes(Logging logging) {
        mLogging = Assert.notNull(logging, "A logging set-up");
    }

    @Override
    public void addTo(JavalinConfig config) {
        config.routes.get("/v1/logging", this::show);
        config.routes.put("/v1/logging", this::applyChange);
    }

    private void show(Context context) throws JsonProcessingException {
        context.contentType("application/json")
                .result(mMapper.writeValueAsBytes(Map.of("levels", mLogging.levels())));
    }

    private void applyChange(Context context) throws JsonProcessingException {
        Change change = parse(context.bodyAsBytes());
        if (!mLogging.setLevel(change.logger(), change.level())) {
            throw new NotFoundResponse("There is no logger of that name.");
        }
        sLogger.warn(
                "OPERATOR  The log level of {} has been set to {}.",
                change.logger(),
                change.level().text());
        show(context);
    }

    private Change parse(byte[] body) {
        try {
            return mMapper.readValue(body, Change.class);
        } catch (JsonMappingException e) {
            throw new BadRequestResponse(
                    "The body must be {\"level\": \"error|warn|info|debug|trace\"}, with"
                            + " \"logger\" if only a part is meant.");
        } catch (IOException e) {
            throw new BadRequestResponse("The body is no JSON object.");
        }
    }

    /**
     * Request body that changes a level.
     *
     * @param logger the name of the logger; all loggers of the system if absent
     * @param level the level
     */
    record Change(String logger, LogLevel level) {

        Change {
            logger = logger == null ? Logging.OWN_LOGGER : logger;
            Assert.notNull(level, "A log level");
        }
    }
}
