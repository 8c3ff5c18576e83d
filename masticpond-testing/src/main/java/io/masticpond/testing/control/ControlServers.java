package io.masticpond.testing.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.javalin.config.JavalinConfig;
import io.javalin.http.BadRequestResponse;
import io.javalin.http.Context;
import io.javalin.json.JavalinJackson;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * Configuration of the HTTP servers of stand-ins and parsing of the bodies of control calls.
 *
 * @since 0.1
 */
public final class ControlServers {

    /** JSON mapper that rejects unknown fields and trailing tokens. */
    public static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 2;

    private ControlServers() {}

    /**
     * Configures a server with 2 to 16 daemon threads, JSON, and no banner.
     *
     * @param config configuration of the server
     */
    public static void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.jsonMapper(new JavalinJackson(MAPPER, false));
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setDaemon(true);
        config.jetty.threadPool = threads;
    }

    /**
     * Parses the JSON body of a call.
     *
     * @param <T> type of the value
     * @param context the call
     * @param type type of the value
     * @return the value
     * @throws BadRequestResponse if the body is not JSON, or has unknown or wrong fields
     */
    public static <T> T read(Context context, Class<T> type) {
        try {
            return MAPPER.readValue(context.body(), type);
        } catch (JsonProcessingException | IllegalArgumentException e) {
            throw (BadRequestResponse)
                    new BadRequestResponse("The body is wrong: " + e.getMessage()).initCause(e);
        }
    }
}
