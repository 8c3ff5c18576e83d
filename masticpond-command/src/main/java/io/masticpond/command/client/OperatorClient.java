package io.masticpond.command.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import io.masticpond.command.client.ClientError.Attempt;
import io.masticpond.command.client.ClientError.Conflict;
import io.masticpond.command.client.ClientError.Malformed;
import io.masticpond.command.client.ClientError.Refused;
import io.masticpond.command.client.ClientError.Unauthorized;
import io.masticpond.command.client.ClientError.Unreachable;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * HTTP client for the operator interface of instances, with failover to the next instance when one
 * does not respond. Instances of this class are thread-safe.
 *
 * <p>Failover is safe because every request is idempotent: plans change nothing, and confirmations
 * and drains have the same effect when they are repeated.
 *
 * @since 0.1
 */
public final class OperatorClient implements AutoCloseable {

    private static final MediaType JSON = MediaType.get("application/json");
    private static final long MAXIMUM_ANSWER_BYTES = 64L << 20;
    private static final int UNAUTHORIZED = 401;
    private static final int FORBIDDEN = 403;
    private static final int CONFLICT = 409;
    private static final int UNAVAILABLE = 503;

    private static final ObjectMapper sMapper =
            JsonMapper.builder()
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .addModule(new Jdk8Module())
                    .build();

    private final List<InstanceAddress> mInstances;
    private final String mToken;
    private final OkHttpClient mHttp;

    /**
     * Creates a client.
     *
     * @param instances the operator interfaces to query, in order of preference
     * @param token the operator's token, or an empty string for interfaces that expect none
     * @param timeout the time that each instance has to send its complete response
     */
    public OperatorClient(List<InstanceAddress> instances, String token, Duration timeout) {
        mInstances = List.copyOf(instances);
        mToken = token;
        mHttp =
                new OkHttpClient.Builder()
                        .callTimeout(timeout)
                        .connectTimeout(timeout)
                        .readTimeout(timeout)
                        .writeTimeout(timeout)
                        .followRedirects(false)
                        .build();
    }

    /** Returns an immutable copy of the list, or an empty list for {@code null}. */
    static <T> List<T> orEmpty(List<T> list) {
        return list == null ? List.of() : List.copyOf(list);
    }

    /**
     * Returns the instances to query.
     *
     * @return the addresses, in order of preference
     */
    public List<InstanceAddress> instances() {
        return mInstances;
    }

    /**
     * Gets a document from the first instance that responds.
     *
     * @param path the path with its query, without a leading slash
     * @return the document, or the error
     */
    public Either<ClientError, JsonNode> get(String path) {
        return fromFirstAvailable(address -> request(address, path).get().build());
    }

    /**
     * Posts a document to the first instance that responds.
     *
     * @param path the path, without a leading slash
     * @param body the document; may be empty
     * @return the response, or the error
     */
    public Either<ClientError, JsonNode> post(String path, byte[] body) {
        return fromFirstAvailable(
                address -> request(address, path).post(RequestBody.create(body, JSON)).build());
    }

    /**
     * Deletes a resource through the first instance that responds.
     *
     * @param path the path with its query, without a leading slash
     * @return the response, or the error
     */
    public Either<ClientError, JsonNode> delete(String path) {
        return fromFirstAvailable(address -> request(address, path).delete().build());
    }

    /**
     * Gets a document from the given instance, without failover.
     *
     * @param address the instance
     * @param path the path with its query, without a leading slash
     * @return the document, or the error
     */
    public Either<ClientError, JsonNode> getFrom(InstanceAddress address, String path) {
        return attempt(address, request(address, path).get().build()).toEither();
    }

    /**
     * Posts an empty body to the given instance, without failover.
     *
     * @param address the instance
     * @param path the path, without a leading slash
     * @return the response, or the error
     */
    public Either<ClientError, JsonNode> postTo(InstanceAddress address, String path) {
        RequestBody empty = RequestBody.create(new byte[0], JSON);
        return attempt(address, request(address, path).post(empty).build()).toEither();
    }

    /**
     * Gets a document from the caller interface of an instance. No token is sent.
     *
     * @param url the complete URL
     * @return the document, or the error
     */
    public Either<ClientError, JsonNode> getAsCaller(HttpUrl url) {
        InstanceAddress address = new InstanceAddress(url.resolve("/"));
        return attempt(address, new Request.Builder().url(url).get().build()).toEither();
    }

    /**
     * Converts a document to the given type.
     *
     * @param <T> the target type
     * @param document the document
     * @param type the target type
     * @return the converted document, or an error if the document can't be converted
     */
    public <T> Either<ClientError, T> read(JsonNode document, Class<T> type) {
        try {
            return Either.right(sMapper.treeToValue(document, type));
        } catch (JsonProcessingException e) {
            return Either.left(new Malformed(mInstances.get(0), e.getOriginalMessage()));
        }
    }

    @Override
    public void close() {
        mHttp.dispatcher().executorService().shutdown();
        mHttp.connectionPool().evictAll();
    }

    private Either<ClientError, JsonNode> fromFirstAvailable(RequestFactory requestFactory) {
        List<Attempt> unreachable = new ArrayList<>();
        Optional<ClientError> notReady = Optional.empty();
        for (InstanceAddress address : mInstances) {
            Outcome outcome = attempt(address, requestFactory.create(address));
            if (outcome instanceof Outcome.Answered answered) {
                return answered.toEither();
            }
            if (outcome instanceof Outcome.Unresponsive unresponsive) {
                unreachable.add(unresponsive.attempt());
            } else if (outcome instanceof Outcome.NotReady unavailable) {
                notReady = Optional.of(unavailable.error());
            }
        }
        return Either.left(notReady.orElseGet(() -> new Unreachable(unreachable)));
    }

    private Outcome attempt(InstanceAddress address, Request request) {
        try (Response response = mHttp.newCall(request).execute()) {
            return outcomeOf(address, response);
        } catch (IOException e) {
            return new Outcome.Unresponsive(new Attempt(address, reasonOf(e)));
        }
    }

    private static Outcome outcomeOf(InstanceAddress address, Response response)
            throws IOException {
        if (response.code() == UNAUTHORIZED || response.code() == FORBIDDEN) {
            return new Outcome.Answered(Either.left(new Unauthorized(address)));
        }
        if (response.body().source().request(MAXIMUM_ANSWER_BYTES + 1)) {
            return malformed(address, "it is longer than 64 MiB.");
        }
        byte[] body = response.body().bytes();
        try {
            if (response.isSuccessful()) {
                JsonNode document = sMapper.readTree(body);
                return document.isObject()
                        ? new Outcome.Answered(Either.right(document))
                        : malformed(address, "it is no JSON object.");
            }
            Problem problem = sMapper.readValue(body, Problem.class);
            return problem == null
                    ? malformed(address, "status " + response.code() + " without a problem.")
                    : failure(response.code(), problem);
        } catch (JsonProcessingException e) {
            return malformed(address, "status " + response.code() + ", " + e.getOriginalMessage());
        }
    }

    private static Outcome failure(int status, Problem problem) {
        if (status == CONFLICT) {
            return new Outcome.Answered(Either.left(new Conflict(problem)));
        }
        ClientError refused = new Refused(problem);
        return status == UNAVAILABLE
                ? new Outcome.NotReady(refused)
                : new Outcome.Answered(Either.left(refused));
    }

    private static Outcome malformed(InstanceAddress address, String reason) {
        return new Outcome.Answered(Either.left(new Malformed(address, reason)));
    }

    private static String reasonOf(IOException error) {
        if (error instanceof InterruptedIOException) {
            return "no answer in time";
        }
        if (error instanceof ConnectException) {
            return "connection refused";
        }
        String message = error.getMessage();
        return message == null ? error.getClass().getSimpleName() : message;
    }

    private Request.Builder request(InstanceAddress address, String path) {
        HttpUrl url = address.url().resolve("/" + path);
        Request.Builder builder =
                new Request.Builder().url(url).header("Accept", "application/json");
        return mToken.isEmpty() ? builder : builder.header("Authorization", "Bearer " + mToken);
    }

    /** Strategy interface for creating a request to an instance. */
    private interface RequestFactory {

        Request create(InstanceAddress address);
    }

    /** Outcome of an attempt at one instance. */
    private sealed interface Outcome {

        Either<ClientError, JsonNode> toEither();

        /** Final response, successful or not. */
        record Answered(Either<ClientError, JsonNode> answer) implements Outcome {

            @Override
            public Either<ClientError, JsonNode> toEither() {
                return answer;
            }
        }

        /** Response of an instance that is not ready; another instance may be. */
        record NotReady(ClientError error) implements Outcome {

            @Override
            public Either<ClientError, JsonNode> toEither() {
                return Either.left(error);
            }
        }

        /** Failure to respond. */
        record Unresponsive(Attempt attempt) implements Outcome {

            @Override
            public Either<ClientError, JsonNode> toEither() {
                return Either.left(new Unreachable(List.of(attempt)));
            }
        }
    }
}
