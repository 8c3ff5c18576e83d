package io.masticpond.testing.platform;

import com.fasterxml.jackson.core.JsonProcessingException;
import io.javalin.Javalin;
import io.javalin.config.JavalinConfig;
import io.javalin.http.Context;
import io.javalin.http.HttpResponseException;
import io.javalin.http.HttpStatus;
import io.masticpond.core.support.Assert;
import io.masticpond.testing.control.ControlServers;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.eclipse.jetty.ee10.servlet.ServletContextRequest;

/**
 * HTTP server of a {@link PlatformState} with the API in docs/PLATFORM_API.md, including its
 * faults.
 *
 * <p>A pending watch occupies no thread.
 *
 * @since 0.1
 */
public final class PlatformServer implements AutoCloseable {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String OBJECTS = "/v1/objects/{kind}";
    private static final String OBJECT = "/v1/objects/{kind}/{name}";
    private static final long HOLD_MILLIS = 60_000;

    private final PlatformState mState;
    private final ScheduledExecutorService mTimer;
    private final Javalin mServer;

    /**
     * Creates a server and starts to listen on loopback.
     *
     * @param state state to serve
     * @param port the port, or 0 for a free port
     */
    public PlatformServer(PlatformState state, int port) {
        mState = Assert.notNull(state, "A state");
        mTimer =
                Executors.newSingleThreadScheduledExecutor(
                        task -> {
                            Thread thread = new Thread(task, "platform-timer");
                            thread.setDaemon(true);
                            return thread;
                        });
        mServer = Javalin.create(this::configure).start(LOOPBACK, port);
    }

    /**
     * Returns the address of the server.
     *
     * @return the address as "ip:port"
     */
    public String address() {
        return LOOPBACK + ":" + mServer.port();
    }

    /**
     * Returns the state that is served.
     *
     * @return the state
     */
    public PlatformState state() {
        return mState;
    }

    @Override
    public void close() {
        mServer.stop();
        mTimer.shutdownNow();
    }

    private void configure(JavalinConfig config) {
        ControlServers.configure(config);
        config.http.maxRequestSize = 2L * PlatformState.MAXIMUM_VALUE_BYTES;
        config.http.asyncTimeout = 2 * HOLD_MILLIS;
        config.routes.get(OBJECT, this::readOrWatch);
        config.routes.put(OBJECT, this::write);
        config.routes.delete(OBJECT, this::delete);
        config.routes.get(OBJECTS, this::list);
        config.routes.get("/v1/instances", this::instances);
        config.routes.exception(HttpResponseException.class, PlatformServer::refuse);
        new PlatformControl(mState).addTo(config.routes);
    }

    private void readOrWatch(Context context) {
        PlatformRequest request = new PlatformRequest(context);
        String kind = request.kind();
        String name = request.name();
        if (request.watches()) {
            long after = request.after();
            long timeoutMillis = request.timeoutMillis();
            respondAsync(
                    context, PlatformCall.WATCH, () -> watch(kind, name, after, timeoutMillis));
            return;
        }
        respond(context, PlatformCall.READ, () -> PlatformAnswer.found(mState.read(kind, name)));
    }

    private CompletableFuture<PlatformAnswer> watch(
            String kind, String name, long after, long timeoutMillis) {
        CompletableFuture<PlatformObject> watch = mState.watch(kind, name, after);
        return watch.copy()
                .thenCompose(object -> delayed(object, mState.faults().watchLagMillis()))
                .thenApply(PlatformAnswer::object)
                .completeOnTimeout(
                        PlatformAnswer.empty(HttpStatus.NO_CONTENT),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS)
                .whenComplete((response, error) -> watch.cancel(false));
    }

    private void write(Context context) {
        PlatformRequest request = new PlatformRequest(context);
        String kind = request.kind();
        String name = request.name();
        long expected = request.expectedVersion();
        byte[] value = request.value();
        HttpStatus changed = expected == PlatformState.ABSENT ? HttpStatus.CREATED : HttpStatus.OK;
        respond(
                context,
                PlatformCall.WRITE,
                () -> PlatformAnswer.of(mState.write(kind, name, expected, value), changed));
    }

    private void delete(Context context) {
        PlatformRequest request = new PlatformRequest(context);
        String kind = request.kind();
        String name = request.name();
        long expected = request.expectedVersion();
        respond(
                context,
                PlatformCall.DELETE,
                () ->
                        PlatformAnswer.of(
                                mState.delete(kind, name, expected), HttpStatus.NO_CONTENT));
    }

    private void list(Context context) {
        PlatformRequest request = new PlatformRequest(context);
        String kind = request.kind();
        String prefix = request.text("prefix");
        String after = request.text("after");
        respond(
                context,
                PlatformCall.LIST,
                () ->
                        json(
                                "names",
                                mState.list(kind, prefix, after, PlatformRequest.MAXIMUM_NAMES)));
    }

    private void instances(Context context) {
        respond(context, PlatformCall.INSTANCES, () -> json("instances", mState.instances()));
    }

    private void respond(Context context, PlatformCall call, Supplier<PlatformAnswer> work) {
        respondAsync(context, call, () -> CompletableFuture.completedFuture(work.get()));
    }

    private void respondAsync(
            Context context, PlatformCall call, Supplier<CompletableFuture<PlatformAnswer>> work) {
        long delayMillis = mState.faults().delayMillis();
        switch (mState.begin(call)) {
            case SERVED -> send(context, delayMillis, work.get());
            case REFUSED -> unavailable().send(context);
            case IGNORED -> abortAfter(context, HOLD_MILLIS);
            case ANSWER_LOST -> loseResponse(context, work);
            case EFFECT_LATE -> delayEffect(context, delayMillis, work);
            case ANSWER_MALFORMED -> sendMalformed(context, work);
            default -> throw new IllegalStateException("The disposition of a call is not handled.");
        }
    }

    private void send(Context context, long delayMillis, CompletableFuture<PlatformAnswer> work) {
        context.future(
                () ->
                        work.thenCompose(response -> delayed(response, delayMillis))
                                .thenAccept(response -> response.send(context)));
    }

    private static void loseResponse(
            Context context, Supplier<CompletableFuture<PlatformAnswer>> work) {
        context.future(() -> work.get().thenAccept(response -> abort(context)));
    }

    private void delayEffect(
            Context context, long delayMillis, Supplier<CompletableFuture<PlatformAnswer>> work) {
        abort(context);
        mTimer.schedule(work::get, delayMillis, TimeUnit.MILLISECONDS);
    }

    private static void sendMalformed(
            Context context, Supplier<CompletableFuture<PlatformAnswer>> work) {
        context.future(
                () -> work.get().thenAccept(response -> PlatformAnswer.malformed().send(context)));
    }

    private void abortAfter(Context context, long millis) {
        context.future(() -> delayed(context, millis).thenAccept(PlatformServer::abort));
    }

    private <T> CompletableFuture<T> delayed(T value, long millis) {
        if (millis == 0) {
            return CompletableFuture.completedFuture(value);
        }
        CompletableFuture<T> result = new CompletableFuture<>();
        mTimer.schedule(() -> result.complete(value), millis, TimeUnit.MILLISECONDS);
        return result;
    }

    private static void abort(Context context) {
        ServletContextRequest.getServletContextRequest(context.req())
                .getConnectionMetaData()
                .getConnection()
                .getEndPoint()
                .close();
    }

    private static PlatformAnswer unavailable() {
        return PlatformAnswer.problem(
                HttpStatus.SERVICE_UNAVAILABLE, "The platform takes no calls now.");
    }

    private static void refuse(HttpResponseException exception, Context context) {
        PlatformAnswer.problem(HttpStatus.forStatus(exception.getStatus()), exception.getMessage())
                .send(context);
    }

    private static PlatformAnswer json(String name, Object value) {
        try {
            return PlatformAnswer.json(
                    ControlServers.MAPPER.writeValueAsBytes(Map.of(name, value)));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("A list could not be serialized as JSON.", e);
        }
    }
}
