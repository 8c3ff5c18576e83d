package io.masticpond.daemon.platform;

import io.masticpond.daemon.http.HttpClients;
import io.masticpond.daemon.http.ResponseFraming;
import io.masticpond.daemon.platform.TransportResult.Answered;
import io.masticpond.daemon.platform.TransportResult.Broken;
import io.masticpond.daemon.platform.TransportResult.NotSent;
import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.EventListener;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * HTTP transport that makes each call once and reports whether any part of it was sent.
 *
 * <p>It never retries or follows a redirect, and does not read an answer larger than the maximum
 * size of an object. Thread-safe; listeners are called on a thread of the HTTP client.
 */
final class HttpTransport implements AutoCloseable {

    /** Maximum size of an answer, in bytes: a value of one megabyte, or a page of names. */
    static final int MAXIMUM_ANSWER_BYTES = 1 << 20;

    private static final int MAXIMUM_IN_FLIGHT = 64;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 4;
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    private final OkHttpClient mClient;

    HttpTransport(Duration connectTimeout) {
        mClient =
                HttpClients.builder(
                                HttpClients.executor("platform-call"),
                                MAXIMUM_IN_FLIGHT,
                                MAXIMUM_IDLE_CONNECTIONS,
                                KEEP_ALIVE,
                                connectTimeout)
                        .eventListenerFactory(call -> call.request().tag(SendDetector.class))
                        .build();
    }

    /** Determines whether a further call would be queued behind those in flight. */
    boolean isFull() {
        return mClient.dispatcher().runningCallsCount() >= MAXIMUM_IN_FLIGHT;
    }

    void send(Request.Builder request, Duration timeout, Consumer<TransportResult> listener) {
        SendDetector detector = new SendDetector();
        Call call = mClient.newCall(request.tag(SendDetector.class, detector).build());
        call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failed, IOException e) {
                        listener.accept(detector.toFailure(e));
                    }

                    @Override
                    public void onResponse(Call answered, Response response) {
                        listener.accept(read(response));
                    }
                });
    }

    @Override
    public void close() {
        HttpClients.close(mClient);
    }

    private static TransportResult read(Response response) {
        try (response) {
            if (!ResponseFraming.hasKnownEnd(response)) {
                return new Broken("The answer does not state where it ends.");
            }
            if (response.body().source().request(MAXIMUM_ANSWER_BYTES + 1L)) {
                return new Broken("The answer is larger than an object may be.");
            }
            return new Answered(
                    response.code(),
                    Optional.ofNullable(response.header("ETag")),
                    Optional.ofNullable(response.header("Content-Type")),
                    Optional.ofNullable(response.header("Retry-After")),
                    response.body().source().readByteArray());
        } catch (IOException | RuntimeException e) {
            // OkHttp throws an unchecked exception for a negative content length.
            return new Broken(reason(e));
        }
    }

    private static String reason(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    /** Event listener that detects whether the first byte of a call was written. */
    private static final class SendDetector extends EventListener {

        private volatile boolean mSendStarted;

        @Override
        public void requestHeadersStart(Call call) {
            mSendStarted = true;
        }

        TransportResult toFailure(IOException e) {
            return mSendStarted ? new Broken(reason(e)) : new NotSent(reason(e));
        }
    }
}
