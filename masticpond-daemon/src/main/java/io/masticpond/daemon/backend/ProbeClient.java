package io.masticpond.daemon.backend;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.masticpond.daemon.backend.ProbeResult.Status;
import io.masticpond.daemon.header.HeaderNames;
import io.masticpond.daemon.http.HttpClients;
import java.io.IOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/** HTTP client of the health and load routes of backend servers. Thread-safe. */
final class ProbeClient implements AutoCloseable {

    private static final int MAXIMUM_IN_FLIGHT = 32;
    private static final int MAXIMUM_IDLE_CONNECTIONS = 128;
    private static final long MAXIMUM_RESPONSE_BYTES = 4_096;
    private static final int OK = 200;
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER =
            JsonMapper.builder().disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES).build();

    private final OkHttpClient mClient;
    private final Duration mTimeout;

    ProbeClient(Duration timeout) {
        mTimeout = timeout;
        mClient =
                HttpClients.builder(
                                HttpClients.executor("health-call"),
                                MAXIMUM_IN_FLIGHT,
                                MAXIMUM_IDLE_CONNECTIONS,
                                KEEP_ALIVE,
                                timeout)
                        .build();
    }

    void health(String address, Consumer<ProbeResult> listener) {
        call(address, "/health", listener, ProbeClient::readHealth);
    }

    void load(String address, Consumer<ProbeResult> listener) {
        call(address, "/load", listener, ProbeClient::readLoad);
    }

    @Override
    public void close() {
        HttpClients.close(mClient);
    }

    private void call(
            String address, String path, Consumer<ProbeResult> listener, ResponseReader reader) {
        Request request = new Request.Builder().url("http://" + address + path).build();
        Call call = mClient.newCall(request);
        call.timeout().timeout(mTimeout.toNanos(), TimeUnit.NANOSECONDS);
        call.enqueue(
                new Callback() {
                    @Override
                    public void onFailure(Call failed, IOException e) {
                        boolean isRefused = e instanceof ConnectException;
                        listener.accept(
                                isRefused ? new ProbeResult.Refused() : new ProbeResult.Failed());
                    }

                    @Override
                    public void onResponse(Call answered, Response response) {
                        listener.accept(read(response, reader));
                    }
                });
    }

    private static ProbeResult read(Response response, ResponseReader reader) {
        try (response) {
            boolean isTooLong = response.body().source().request(MAXIMUM_RESPONSE_BYTES + 1);
            if (response.code() != OK || isTooLong) {
                return new ProbeResult.Failed();
            }
            return reader.read(response, response.body().source().readByteArray());
        } catch (IOException | IllegalArgumentException e) {
            return new ProbeResult.Failed();
        }
    }

    private static ProbeResult readHealth(Response response, byte[] body) throws IOException {
        HealthBody health = MAPPER.readValue(body, HealthBody.class);
        boolean isLeaving = "true".equals(response.header(HeaderNames.LEAVING));
        boolean closesConnection = "close".equalsIgnoreCase(response.header("Connection"));
        Status status = isLeaving ? Status.LEAVING : health.toStatus();
        return new ProbeResult.Health(
                status, countOrUnreported(health.inFlight()), closesConnection);
    }

    private static ProbeResult readLoad(Response response, byte[] body) throws IOException {
        LoadBody load = MAPPER.readValue(body, LoadBody.class);
        return new ProbeResult.Load(countOrUnreported(load.inFlight()));
    }

    private static int countOrUnreported(Integer count) {
        return count == null || count < 0 ? ProbeResult.UNREPORTED : count;
    }

    /** Strategy interface for reading the response of a route. */
    @FunctionalInterface
    private interface ResponseReader {
        ProbeResult read(Response response, byte[] body) throws IOException;
    }

    /** The body of a health response. */
    private record HealthBody(String status, Integer inFlight) {

        Status toStatus() {
            if (status == null) {
                throw new IllegalArgumentException("A health response must have a status.");
            }
            return Status.valueOf(status.toUpperCase(Locale.ROOT));
        }
    }

    /** The body of a load response. */
    private record LoadBody(Integer inFlight) {}
}
