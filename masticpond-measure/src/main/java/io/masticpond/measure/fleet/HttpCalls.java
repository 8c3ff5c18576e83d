package io.masticpond.measure.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.internal.http.HttpMethod;

/**
 * HTTP client for routes on loopback, with a timeout of 20 s per call.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class HttpCalls {

    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final OkHttpClient mClient =
            new OkHttpClient.Builder()
                    .callTimeout(TIMEOUT)
                    .readTimeout(TIMEOUT)
                    .retryOnConnectionFailure(false)
                    .build();

    /**
     * Calls a route and reads its complete answer.
     *
     * @param method the HTTP method
     * @param address the address as "ip:port"
     * @param target the path and query
     * @param headers the header fields
     * @param body the body; ignored if the method permits none
     * @return the complete answer
     * @throws IOException if there is no complete answer
     */
    public HttpReply call(
            String method, String address, String target, Map<String, String> headers, byte[] body)
            throws IOException {
        Request.Builder builder = new Request.Builder().url("http://" + address + target);
        headers.forEach(builder::header);
        builder.method(
                method,
                HttpMethod.permitsRequestBody(method) ? RequestBody.create(body, null) : null);
        try (Response response = mClient.newCall(builder.build()).execute()) {
            return new HttpReply(response.code(), response.headers(), response.body().bytes());
        }
    }

    /**
     * Reads a JSON document with a GET request.
     *
     * @param address the address as "ip:port"
     * @param target the path and query
     * @return the document
     * @throws IOException if there is no complete answer, its status is not 200, or it is not JSON
     */
    public JsonNode json(String address, String target) throws IOException {
        HttpReply reply = call("GET", address, target, Map.of(), new byte[0]);
        if (reply.status() != 200) {
            throw new IOException(target + " answered " + reply.status() + ".");
        }
        return reply.json();
    }

    /**
     * Complete HTTP answer.
     *
     * @param status the HTTP status
     * @param headers the header fields
     * @param body the body; must not be changed
     */
    @SuppressWarnings("ArrayRecordComponent")
    public record HttpReply(int status, okhttp3.Headers headers, byte[] body) {

        /**
         * Reads the body as JSON.
         *
         * @return the document
         * @throws IOException if the body is not JSON
         */
        public JsonNode json() throws IOException {
            return MAPPER.readTree(body);
        }
    }
}
