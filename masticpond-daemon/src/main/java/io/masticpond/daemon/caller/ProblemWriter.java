package io.masticpond.daemon.caller;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.javalin.http.Context;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.support.Assert;
import io.masticpond.daemon.header.HeaderNames;
import java.time.Duration;

/**
 * Writer of refusals as problem details (RFC 9457); see docs/CALLER_API.md.
 *
 * @since 0.1
 */
public final class ProblemWriter {

    /** The media type of problem details. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final String TYPE_PREFIX = "urn:masticpond:problem:";
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private ProblemWriter() {}

    /**
     * Writes a refusal as the response of an exchange.
     *
     * @param context the exchange
     * @param refusal the refusal
     * @param requestId the request id, or "" if the request has none yet
     */
    public static void write(Context context, Refusal refusal, String requestId) {
        Assert.notNull(refusal, "A refusal");
        ObjectNode problem = MAPPER.createObjectNode();
        problem.put("type", TYPE_PREFIX + refusal.cause().text());
        problem.put("title", refusal.cause().text().replace('-', ' '));
        problem.put("status", refusal.cause().status());
        problem.put("detail", refusal.detail());
        problem.put("verdict", refusal.verdict().text());
        problem.put("cause", refusal.cause().text());
        problem.put("requestId", requestId);
        refusal.retryAfter()
                .ifPresent(
                        after -> {
                            problem.put("retryAfterMillis", after.toMillis());
                            context.header("Retry-After", Long.toString(roundUpToSeconds(after)));
                        });
        context.status(refusal.cause().status());
        context.header(HeaderNames.VERDICT, refusal.verdict().text());
        if (!requestId.isEmpty()) {
            context.header(HeaderNames.REQUEST_ID, requestId);
        }
        context.contentType(MEDIA_TYPE);
        context.result(toJson(problem));
    }

    private static long roundUpToSeconds(Duration duration) {
        return duration.plusMillis(999).toSeconds();
    }

    private static String toJson(ObjectNode problem) {
        try {
            return MAPPER.writeValueAsString(problem);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Could not encode a problem as JSON.", e);
        }
    }
}
