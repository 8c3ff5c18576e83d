package io.masticpond.daemon.http;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;

/**
 * Factory for HTTP clients without implicit retries or redirects.
 *
 * <p>The clients use HTTP/1.1, keep connections alive, never retry a call and follow no redirects.
 * They have no read or write timeout; only the call itself limits its duration.
 *
 * @since 0.1
 */
public final class HttpClients {

    private HttpClients() {}

    /**
     * Returns a builder for a client.
     *
     * @param executor the executor of the calls, which occupies one thread for each call in flight
     * @param maximumInFlight the maximum number of calls in flight; further calls are queued in the
     *     client
     * @param maximumIdleConnections the maximum number of idle connections
     * @param keepAlive the time for which idle connections are kept
     * @param connectTimeout the timeout for establishing a connection
     * @return the builder, to which listeners may be added
     */
    public static OkHttpClient.Builder builder(
            ExecutorService executor,
            int maximumInFlight,
            int maximumIdleConnections,
            Duration keepAlive,
            Duration connectTimeout) {
        Assert.positive(maximumInFlight, "A number of calls in flight");
        Dispatcher dispatcher = new Dispatcher(executor);
        dispatcher.setMaxRequests(maximumInFlight);
        dispatcher.setMaxRequestsPerHost(maximumInFlight);
        ConnectionPool pool =
                new ConnectionPool(
                        maximumIdleConnections, keepAlive.toMillis(), TimeUnit.MILLISECONDS);
        return new OkHttpClient.Builder()
                .dispatcher(dispatcher)
                .connectionPool(pool)
                .protocols(List.of(Protocol.HTTP_1_1))
                .connectTimeout(connectTimeout)
                .readTimeout(Duration.ZERO)
                .writeTimeout(Duration.ZERO)
                .retryOnConnectionFailure(false)
                .followRedirects(false)
                .followSslRedirects(false);
    }

    /**
     * Creates an executor with one named daemon thread for each call in flight.
     *
     * @param threadName the name of the threads
     * @return the executor
     */
    public static ExecutorService executor(String threadName) {
        return Executors.newCachedThreadPool(
                task -> {
                    Thread thread = new Thread(task, threadName);
                    thread.setDaemon(true);
                    return thread;
                });
    }

    /**
     * Cancels all calls of a client, and closes its executor and its idle connections.
     *
     * @param client the client
     */
    public static void close(OkHttpClient client) {
        client.dispatcher().cancelAll();
        client.dispatcher().executorService().shutdown();
        client.connectionPool().evictAll();
    }
}
