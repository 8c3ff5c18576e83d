package io.masticpond.daemon.caller;

import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HandlerType;
import io.javalin.http.HttpResponseException;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.header.HeaderNames;
import io.masticpond.daemon.lifecycle.RequestIntake;
import io.masticpond.daemon.settings.DaemonSettings.CallerSettings;
import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;
import org.eclipse.jetty.http.BadMessageException;
import org.eclipse.jetty.http.UriCompliance;
import org.eclipse.jetty.server.Connector;
import org.eclipse.jetty.server.HttpConfiguration;
import org.eclipse.jetty.server.HttpConnectionFactory;
import org.eclipse.jetty.server.NetworkConnectionLimit;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Server;
import org.eclipse.jetty.server.ServerConnector;
import org.eclipse.jetty.server.handler.GracefulHandler;
import org.eclipse.jetty.util.thread.QueuedThreadPool;

/**
 * HTTP server for callers, which accepts look-ups and requests of any method; see
 * docs/CALLER_API.md.
 *
 * @since 0.1
 */
public final class CallerServer implements AutoCloseable {

    private static final int MAXIMUM_THREADS = 48;
    private static final int MINIMUM_THREADS = 8;
    private static final int ACCEPT_QUEUE = 1_024;
    private static final long CLOSE_TIMEOUT_NANOS = Duration.ofSeconds(5).toNanos();
    private static final long CLOSE_POLL_NANOS = Duration.ofMillis(5).toNanos();
    private static final List<HandlerType> METHODS =
            List.of(
                    HandlerType.GET,
                    HandlerType.HEAD,
                    HandlerType.POST,
                    HandlerType.PUT,
                    HandlerType.PATCH,
                    HandlerType.DELETE,
                    HandlerType.OPTIONS);

    private final CallerSettings mSettings;
    private final CallerService mService;
    private final LookupRoute mLookup;
    private final RequestReader mReader;
    private final RequestIdGenerator mIds;
    private final RequestIntake mIntake;
    private final Javalin mServer;
    private final TimeSource mTimeSource;
    private final AtomicInteger mInFlight = new AtomicInteger();

    /**
     * Counts the exchanges of all routes, from the head of the request to the end of the answer.
     */
    private final GracefulHandler mExchanges = new GracefulHandler();

    /**
     * Creates a server that does not listen yet.
     *
     * @param settings the addresses and limits
     * @param service the service that look-ups and requests are passed to
     * @param ids the source of request ids
     * @param intake the intake of requests
     * @param timeSource the clocks
     */
    public CallerServer(
            CallerSettings settings,
            CallerService service,
            RequestIdGenerator ids,
            RequestIntake intake,
            TimeSource timeSource) {
        mSettings = settings;
        mService = service;
        mIds = ids;
        mIntake = intake;
        mTimeSource = timeSource;
        mReader = new RequestReader(timeSource);
        mLookup = new LookupRoute(service);
        mServer = Javalin.create(this::configure);
    }

    /** Starts listening. */
    public void start() {
        mServer.start();
    }

    /**
     * Returns the port, which the operating system chose if the settings have port 0.
     *
     * @return the port
     */
    public int port() {
        return mServer.port();
    }

    /**
     * Returns the number of requests that have not completed or whose answer has not been written.
     *
     * @return the number of requests
     */
    public int inFlightCount() {
        return mInFlight.get();
    }

    /**
     * Stops accepting connections, waits up to 5 seconds for the answers that are being written,
     * and closes all connections.
     */
    @Override
    public void close() {
        Server server = mServer.jettyServer().server();
        for (Connector connector : server.getConnectors()) {
            ((ServerConnector) connector).close();
        }
        long end = mTimeSource.monotonicNanos() + CLOSE_TIMEOUT_NANOS;
        while (mExchanges.getCurrentStreamWrapperCount() > 0
                && mTimeSource.monotonicNanos() - end < 0) {
            LockSupport.parkNanos(CLOSE_POLL_NANOS);
        }
        mServer.stop();
    }

    private void configure(JavalinConfig config) {
        config.startup.showJavalinBanner = false;
        config.startup.showOldJavalinVersionWarning = false;
        config.http.maxRequestSize = mSettings.maximumBodyBytes();
        config.http.prefer405over404 = true;
        QueuedThreadPool threads = new QueuedThreadPool(MAXIMUM_THREADS, MINIMUM_THREADS);
        threads.setName("caller");
        config.jetty.threadPool = threads;
        config.jetty.addConnector(this::connector);
        config.jetty.modifyServer(
                server -> {
                    server.setHandler(mExchanges);
                    server.addBean(
                            new NetworkConnectionLimit(mSettings.maximumConnections(), server));
                });
        config.routes.get("/health", context -> context.result("healthy\n"));
        config.routes.get("/ready", this::handleReadiness);
        config.routes.get("/v1/lookup", mLookup);
        for (HandlerType method : METHODS) {
            config.routes.addHttpHandler(
                    method, RequestReader.SERVICES_PATH + "{service}", this::handleRequest);
            config.routes.addHttpHandler(
                    method, RequestReader.SERVICES_PATH + "{service}/<path>", this::handleRequest);
        }
        config.routes.exception(HttpResponseException.class, CallerServer::writeHttpError);
        config.routes.exception(
                IllegalArgumentException.class,
                (e, context) ->
                        ProblemWriter.write(
                                context,
                                Refusal.didNotRun(RefusalCause.BAD_REQUEST, e.getMessage()),
                                ""));
        config.routes.exception(IOException.class, CallerServer::writeUnreadableBody);
        config.routes.exception(BadMessageException.class, CallerServer::writeUnreadableBody);
        config.routes.error(404, CallerServer::writeNotFound);
    }

    private ServerConnector connector(Server server, HttpConfiguration configuration) {
        configuration.setRequestHeaderSize(mSettings.maximumHeaderBytes());
        configuration.setSendServerVersion(false);
        configuration.setUriCompliance(UriCompliance.RFC3986);
        ServerConnector connector =
                new ServerConnector(server, new HttpConnectionFactory(configuration));
        int colon = mSettings.address().lastIndexOf(':');
        connector.setHost(mSettings.address().substring(0, colon));
        connector.setPort(Integer.parseInt(mSettings.address().substring(colon + 1)));
        connector.setIdleTimeout(mSettings.idleMillis());
        connector.setAcceptQueueSize(ACCEPT_QUEUE);
        return connector;
    }

    /**
     * Writes the refusal of a request whose body cannot be read. Bodies are read before a request
     * is steered, so the request did not run.
     */
    private static void writeUnreadableBody(Exception error, Context context) {
        ProblemWriter.write(
                context,
                Refusal.didNotRun(RefusalCause.BAD_REQUEST, "The body was cut short or malformed."),
                "");
    }

    private void handleReadiness(Context context) {
        Optional<String> reason = mService.unreadyReason();
        context.status(reason.isEmpty() ? 200 : 503).result(reason.orElse("ready") + "\n");
    }

    private void handleRequest(Context context) {
        RequestId id = mIds.next();
        if (!mIntake.tryEnter()) {
            refuseStopping(context, id);
            return;
        }
        onExchangeEnd(context, mIntake::leave);
        Optional<String> notReady = mService.unreadyReason();
        if (notReady.isPresent()) {
            refuse(context, id, RefusalCause.NOT_READY, notReady.get());
            return;
        }
        Optional<ServiceSpecification> service = findService(context);
        if (service.isEmpty()) {
            refuse(
                    context,
                    id,
                    RefusalCause.NOT_FOUND,
                    "There is no service '" + context.pathParam("service") + "'.");
            return;
        }
        Either<Refusal, SteeredRequest> request = mReader.read(context, id, service.get());
        Either<Refusal, CallerService.OperationKeys> keys = mReader.keys(context);
        if (request.isLeft() || keys.isLeft()) {
            ProblemWriter.write(
                    context, request.isLeft() ? request.getLeft() : keys.getLeft(), id.value());
            return;
        }
        if (mInFlight.incrementAndGet() > mSettings.maximumRequests()) {
            mInFlight.decrementAndGet();
            refuse(context, id, RefusalCause.QUEUE_FULL, "Too many requests are in flight.");
            return;
        }
        steer(context, request.get(), keys.get());
    }

    private void steer(Context context, SteeredRequest request, CallerService.OperationKeys keys) {
        if (!mIntake.tryEnter()) {
            mInFlight.decrementAndGet();
            refuseStopping(context, request.head().id());
            return;
        }
        CompletableFuture<RequestCompletion> future = new CompletableFuture<>();
        CompletableFuture<Void> exchangeEnd = new CompletableFuture<>();
        onExchangeEnd(context, () -> exchangeEnd.complete(null));
        CompletableFuture<Void> unused =
                future.runAfterBoth(exchangeEnd, mInFlight::decrementAndGet);
        mService.submit(
                request,
                keys,
                completion -> {
                    future.complete(completion);
                    mIntake.leave();
                });
        context.future(
                () ->
                        future.thenAcceptAsync(
                                completion -> write(context, request, completion),
                                mServer.jettyServer().threadPool()));
    }

    /** Runs a task once the answer has been written to the socket or can no longer be. */
    private static void onExchangeEnd(Context context, Runnable task) {
        Request.addCompletionListener(
                ServletContextRequest.getServletContextRequest(context.req()),
                failure -> task.run());
    }

    private static void refuseStopping(Context context, RequestId id) {
        context.header("Connection", "close");
        refuse(context, id, RefusalCause.NOT_READY, "This instance is stopping.");
    }

    private void write(Context context, SteeredRequest request, RequestCompletion completion) {
        String id = request.head().id().value();
        context.header(
                HeaderNames.CONFIGURATION_VERSION, mService.configuration().version().toString());
        if (completion instanceof RequestCompletion.Refused refused) {
            ProblemWriter.write(context, refused.refusal(), id);
            return;
        }
        RequestCompletion.Answered answer = (RequestCompletion.Answered) completion;
        context.status(answer.status());
        Set<String> seen = new HashSet<>();
        for (HeaderField field : answer.headers()) {
            if (seen.add(field.name().toLowerCase(Locale.ROOT))) {
                context.res().setHeader(field.name(), field.value());
            } else {
                context.res().addHeader(field.name(), field.value());
            }
        }
        context.header(HeaderNames.REQUEST_ID, id);
        context.header(HeaderNames.VERDICT, Verdict.RAN.text());
        context.result(answer.body());
    }

    private Optional<ServiceSpecification> findService(Context context) {
        return mService.configuration().service(new ServiceId(context.pathParam("service")));
    }

    private static void refuse(Context context, RequestId id, RefusalCause cause, String detail) {
        ProblemWriter.write(context, Refusal.didNotRun(cause, detail), id.value());
    }

    private static void writeHttpError(HttpResponseException e, Context context) {
        RefusalCause cause =
                e.getStatus() == 404 ? RefusalCause.NOT_FOUND : RefusalCause.BAD_REQUEST;
        ProblemWriter.write(context, Refusal.didNotRun(cause, e.getMessage()), "");
        context.status(e.getStatus());
    }

    private static void writeNotFound(Context context) {
        if (context.result() == null || context.result().isEmpty()) {
            ProblemWriter.write(
                    context,
                    Refusal.didNotRun(RefusalCause.NOT_FOUND, "There is no such route."),
                    "");
        }
    }
}
