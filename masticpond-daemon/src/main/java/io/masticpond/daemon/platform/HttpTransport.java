package io.masticpond.daemon.platform;

import io.masticpond.daemon.http.HttpClients;
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
 * Makes one HTTP call at a time it is told to, and says whether any of it was sent.
 *
 * <p>Never retries or follows a redirection. An answer larger than an object may be is not read.
 * Safe for all threads; ends are told on a thread of the client.
 */
final class HttpTransport implements AutoCloseable {

    /** The greatest size of an answer: a value of a megabyte, or a page of names. */
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
                        .eventListenerFactory(call -> call.request().tag(SendWatch.class))
                        .build();
    }

    /** Tells whether another call would only wait for those in flight. */
    boolean isFull() {
        return mClient.dispatcher().runningCallsCount() >= MAXIMUM_IN_FLIGHT;
    }

    void send(Request.Builder request, Duration timeout, Consumer<TransportResult> listener) {
        SendWatch watch = new SendWatch();
        Call call = mClient.newCall(request.tag(SendWatch.class, watch).build());
        call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failed, IOException e) {
                        listener.accept(watch.end(e));
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
            // OkHttp throws an unchecked exception at a negative length of the body.
            return new Broken(reason(e));
        }
    }

    private static String reason(Exception e) {
        return e.getMessage() == null ? e.getClass().getSimpleName() : e.getMessage();
    }

    /** Watches whether the first byte of a call was written. */
    private static final class SendWatch extends EventListener {

        private volatile boolean mStarted;

        @Override
        public void requestHeadersStart(Call call) {
            mStarted = true;
        }

        TransportResult end(IOException e) {
            return mStarted ? new Broken(reason(e)) : new NotSent(reason(e));
        }
    }
}
