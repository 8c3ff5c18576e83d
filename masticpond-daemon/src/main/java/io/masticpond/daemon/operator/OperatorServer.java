package io.masticpond.daemon.operator;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import io.javalin.http.HttpStatus;
import io.javalin.http.UnauthorizedResponse;
import io.masticpond.core.support.Assert;
import java.io.IOException;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.util.thread.QueuedThreadPool;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * HTTP server for operators on an address of its own. Every path except {@link #OPEN_PATHS}
 * requires a valid token.
 *
 * <p>Errors are answered as problem+json; their text never contains a token or a stack trace.
 *
 * @since 0.1
 */
public final class OperatorServer implements AutoCloseable {

    /** Paths that need no token. */
    public static final Set<String> OPEN_PATHS = Set.of("/health", "/ready");

    /** Name of the request attribute that holds the operator's name. */
    public static final String OPERATOR_ATTRIBUTE = "masticpond-operator";

    private static final Logger sLogger = LoggerFactory.getLogger(OperatorServer.class);
    private static final int MAXIMUM_THREADS = 16;
    private static final int MINIMUM_THREADS = 4;
    private static final int THREAD_IDLE_TIMEOUT_MILLIS = 10_000;
    private static final long ANSWER_TIMEOUT_MILLIS = 30_000;
    private static final int MINIMUM_ERROR_STATUS = 400;
    private static final int INTERNAL_ERROR_STATUS = 500;

    private final OperatorSettings mSettings;
    private final OperatorTokens mTokens;
    private final Javalin mServer;

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings the address, tokens and limits
     * @param routes the routes of all components
     */
    public OperatorServer(OperatorSettings settings, Set<OperatorRoutes> routes) {
        mSettings = Assert.notNull(settings, "Operator settings");
        mTokens = new OperatorTokens(settings.tokens());
        mServer = Javalin.create(config -> configure(config, routes));
    }

    /**
     * Starts listening.
     *
     * @return this server
     */
    public OperatorServer start() {
        mServer.start(mSettings.host(), mSettings.port());
        sLogger.info("OPERATOR  Operator server listening on port {}", port());
        return this;
    }

    /**
     * Returns the port, which the operating system chose if the settings have port 0.
     *
     * @return the port
     */
    public int port() {
        return mServer.port();
    }

    @Override
    public void close() {
        mServer.stop();
    }

    private void configure(JavalinConfig config, Set<OperatorRoutes> routes) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.maxRequestSize = mSettings.maximumBodyBytes();
        config.http.asyncTimeout = ANSWER_TIMEOUT_MILLIS;
        config.jetty.threadPool =
                new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS, THREAD_IDLE_TIMEOUT_MILLIS);
        config.jetty.modifyHttpConfiguration(http -> http.setSendServerVersion(false));
        config.routes.before(this::checkToken);
        config.routes.exception(HttpResponseException.class, OperatorServer::answerHttpError);
        config.routes.exception(IOException.class, OperatorServer::answerMalformedBody);
        config.routes.exception(BadMessageException.class, OperatorServer::answerMalformedBody);
        config.routes.exception(Exception.class, OperatorServer::answerUnexpectedError);
        routes.forEach(component -> component.addTo(config));
    }

    private void checkToken(Context context) {
        if (OPEN_PATHS.contains(context.path())) {
            return;
        }
        Optional<String> operator = mTokens.operatorOf(context.header("Authorization"));
        if (operator.isEmpty()) {
            context.header("WWW-Authenticate", "Bearer");
            throw new UnauthorizedResponse("A valid operator token is needed.");
        }
        context.attribute(OPERATOR_ATTRIBUTE, operator.get());
    }

    private static void answerHttpError(HttpResponseException error, Context context) {
        int status = Math.max(MINIMUM_ERROR_STATUS, error.getStatus());
        OperatorProblem.of(status, causeOf(status), detailOf(error)).answer(context);
    }

    private static String causeOf(int status) {
        return HttpStatus.forStatus(status).getMessage().toLowerCase(Locale.ROOT).replace(' ', '-');
    }

    private static String detailOf(HttpResponseException error) {
        String message = error.getMessage();
        return message == null || message.isBlank() ? "The request failed." : message;
    }

    private static void answerMalformedBody(Exception error, Context context) {
        OperatorProblem.of(
                        HttpStatus.BAD_REQUEST.getCode(),
                        "broken-body",
                        "The body was cut short or malformed.")
                .answer(context);
    }

    private static void answerUnexpectedError(Exception error, Context context) {
        sLogger.error(
                "OPERATOR  Unexpected error while handling a request to {}", context.path(), error);
        OperatorProblem.of(
                        INTERNAL_ERROR_STATUS, "internal-error", "The request failed; see the log.")
                .answer(context);
    }
}
