package io.masticpond.daemon.backend;

import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.header.HeaderNames;
import io.masticpond.daemon.http.HttpClients;
import io.masticpond.daemon.http.ResponseFraming;
import io.masticpond.daemon.steering.BackendDispatcher;
import io.masticpond.daemon.steering.HeaderField;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;

/**
 * HTTP client that sends requests to backend servers over persistent connections. Only complete
 * responses count as answers.
 *
 * <p>The result states whether the request may have run: an attempt that failed before the first
 * byte of the request was written did not run; after that it may have run, unless the server
 * declared that it shed the request. Thread-safe.
 *
 * @since 0.1
 */
public final class BackendClient implements BackendDispatcher, AutoCloseable {

    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);
    private static final int MAXIMUM_IN_FLIGHT = 4_096;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 512;
    private static final int SERVER_ERROR = 500;
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final long MAXIMUM_RESPONSE_BYTES = 16L << 20;

    private final TimeSource mTimeSource;
    private final OkHttpClient mClient;

    /**
     * Creates a client without connections.
     *
     * @param timeSource the clocks
     * @param executor the executor of the attempts, which uses one thread for each attempt in
     *     flight
     */
    public BackendClient(TimeSource timeSource, ExecutorService executor) {
        mTimeSource = timeSource;
        mClient =
                HttpClients.builder(
                                executor,
                                MAXIMUM_IN_FLIGHT,
                                MAXIMUM_IDLE_CONNECTIONS,
                                KEEP_ALIVE,
                                CONNECT_TIMEOUT)
                        .eventListenerFactory(BackendClient::findListener)
                        .build();
    }

    @Override
    public Attempt dispatch(
            SteeredRequest request,
            BackendServerSpecification server,
            Consumer<AttemptResult> listener) {
        long remaining = request.head().deadlineNanos() - mTimeSource.monotonicNanos();
        if (remaining <= 0) {
            listener.accept(
                    refused(
                            AttemptOutcome.UNREACHABLE,
                            Refusal.didNotRun(
                                    RefusalCause.DEADLINE, "The deadline passed before sending.")));
            return () -> {};
        }
        SendListener sendListener = new SendListener();
        Call call;
        try {
            call = mClient.newCall(toHttp(request, server, remaining, sendListener));
        } catch (IllegalArgumentException e) {
            listener.accept(
                    refused(
                            AttemptOutcome.UNREACHABLE,
                            Refusal.didNotRun(
                                    RefusalCause.BAD_REQUEST,
                                    "The request cannot be sent: " + e.getMessage())));
            return () -> {};
        }
        call.timeout().timeout(remaining, TimeUnit.NANOSECONDS);
        call.enqueue(new AttemptCallback(request, server, sendListener, listener));
        return () -> {
            sendListener.mCancelled.set(true);
            call.cancel();
        };
    }

    @Override
    public void close() {
        mClient.dispatcher().executorService().shutdown();
        mClient.connectionPool().evictAll();
    }

    private static EventListener findListener(Call call) {
        SendListener sendListener = call.request().tag(SendListener.class);
        return sendListener == null ? EventListener.NONE : sendListener;
    }

    private static Request toHttp(
            SteeredRequest request,
            BackendServerSpecification server,
            long remainingNanos,
            SendListener sendListener) {
        Request.Builder builder =
                new Request.Builder()
                        .url("http://" + server.address() + request.path())
                        .tag(SendListener.class, sendListener);
        for (HeaderField field : request.headers()) {
            if (HeaderNames.isForwarded(field.name())) {
                builder.addHeader(field.name(), field.value());
            }
        }
        builder.header(HeaderNames.REQUEST_ID, request.head().id().value());
        builder.header(
                HeaderNames.DEADLINE_MILLIS,
                Long.toString(TimeUnit.NANOSECONDS.toMillis(remainingNanos)));
        builder.header("Accept-Encoding", "identity");
        request.operationId().ifPresent(id -> builder.header(HeaderNames.OPERATION_ID, id));
        boolean hasBody =
                HttpMethod.requiresRequestBody(request.method())
                        || (request.body().length > 0
                                && HttpMethod.permitsRequestBody(request.method()));
        return builder.method(
                        request.method(), hasBody ? RequestBody.create(request.body(), null) : null)
                .build();
    }

    private static AttemptResult refused(AttemptOutcome outcome, Refusal refusal) {
        return new AttemptResult(outcome, new RequestCompletion.Refused(refusal), false);
    }

    /**
     * Listener that records whether the writing of a request has started, and whether the attempt
     * was cancelled.
     */
    private static final class SendListener extends EventListener {

        private final AtomicBoolean mWritingStarted = new AtomicBoolean();
        private final AtomicBoolean mCancelled = new AtomicBoolean();

        @Override
        public void requestHeadersStart(Call call) {
            mWritingStarted.set(true);
        }
    }

    /** Callback that converts the outcome of a call to the result of an attempt. */
    private static final class AttemptCallback implements Callback {

        private final SteeredRequest mRequest;
        private final BackendServerSpecification mServer;
        private final SendListener mSendListener;
        private final Consumer<AttemptResult> mListener;

        AttemptCallback(
                SteeredRequest request,
                BackendServerSpecification server,
                SendListener sendListener,
                Consumer<AttemptResult> listener) {
            mRequest = request;
            mServer = server;
            mSendListener = sendListener;
            mListener = listener;
        }

        @Override
        public void onFailure(Call call, IOException e) {
            mListener.accept(toFailure(e));
        }

        @Override
        public void onResponse(Call call, Response response) {
            AttemptResult result;
            try (response) {
                result = toResult(response);
            } catch (IOException | RuntimeException e) {
                result = toFailure(e);
            }
            mListener.accept(result);
        }

        private AttemptResult toResult(Response response) throws IOException {
            boolean isLeaving = "true".equals(response.header(HeaderNames.LEAVING));
            String echoed = response.header(HeaderNames.REQUEST_ID);
            if (echoed != null && !echoed.equals(mRequest.head().id().value())) {
                throw new IOException("The answer is to another request, " + echoed + ".");
            }
            if (!ResponseFraming.hasKnownEnd(response)) {
                throw new IOException("The answer does not say where it ends.");
            }
            byte[] body = readWhole(response);
            if (response.code() == SERVICE_UNAVAILABLE
                    && "true".equals(response.header(HeaderNames.SHED))) {
                return new AttemptResult(
                        AttemptOutcome.SHED,
                        new RequestCompletion.Refused(
                                Refusal.didNotRun(
                                        RefusalCause.BACKEND_SHED,
                                        "The backend server " + mServer.id() + " shed it.")),
                        isLeaving);
            }
            List<HeaderField> headers = new ArrayList<>();
            response.headers()
                    .forEach(
                            pair -> {
                                if (HeaderNames.isForwarded(pair.getFirst())) {
                                    headers.add(new HeaderField(pair.getFirst(), pair.getSecond()));
                                }
                            });
            return new AttemptResult(
                    response.code() >= SERVER_ERROR
                            ? AttemptOutcome.SERVER_ERROR
                            : AttemptOutcome.ANSWERED,
                    new RequestCompletion.Answered(
                            response.code(), headers, body, mServer.id().value()),
                    isLeaving);
        }

        private static byte[] readWhole(Response response) throws IOException {
            if (response.body().contentLength() > MAXIMUM_RESPONSE_BYTES) {
                throw new IOException("The answer is larger than " + MAXIMUM_RESPONSE_BYTES + ".");
            }
            if (response.body().source().request(MAXIMUM_RESPONSE_BYTES + 1)) {
                throw new IOException("The answer is larger than " + MAXIMUM_RESPONSE_BYTES + ".");
            }
            return response.body().source().readByteArray();
        }

        private AttemptResult toFailure(Exception e) {
            if (!mSendListener.mWritingStarted.get()) {
                RefusalCause cause =
                        mSendListener.mCancelled.get()
                                ? RefusalCause.CANCELLED
                                : RefusalCause.NO_BACKEND_SERVER;
                return refused(
                        AttemptOutcome.UNREACHABLE,
                        Refusal.didNotRun(
                                cause, "The backend server " + mServer.id() + ": " + messageOf(e)));
            }
            if (mSendListener.mCancelled.get()) {
                return refused(
                        AttemptOutcome.CANCELLED,
                        Refusal.mayHaveRun(RefusalCause.CANCELLED, "The caller gave up."));
            }
            if (e instanceof java.io.InterruptedIOException) {
                return refused(
                        AttemptOutcome.TIMED_OUT,
                        Refusal.mayHaveRun(
                                RefusalCause.DEADLINE,
                                "The backend server " + mServer.id() + " had not answered."));
            }
            return refused(
                    AttemptOutcome.BROKEN,
                    Refusal.mayHaveRun(
                            RefusalCause.BACKEND_FAILED,
                            "The backend server " + mServer.id() + ": " + messageOf(e)));
        }

        private static String messageOf(Exception e) {
            String message = e.getMessage();
            return message == null ? e.getClass().getSimpleName() + "." : message;
        }
    }
}
