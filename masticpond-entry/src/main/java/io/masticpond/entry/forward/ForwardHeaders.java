package io.masticpond.entry.forward;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.statement.AttributedStatement;
import io.masticpond.core.support.Assert;
import io.masticpond.core.workspace.KeyDigest;
import io.masticpond.entry.log.RequestOutcome;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * Codec for the headers that instances add to forwarded requests and their answers. They are
 * removed before a request is sent to a backend server and before an answer is sent to a client.
 *
 * @since 0.3
 */
public final class ForwardHeaders {

    private static final String SERVICE = "Masticpond-Forward-Service";
    private static final String ATTEMPTS = "Masticpond-Forward-Attempts";
    private static final String KEY = "Masticpond-Forward-Key";
    private static final String OUTCOME = "Masticpond-Forward-Outcome";
    private static final String CAUSE = "Masticpond-Forward-Cause";
    private static final String STATEMENT = "Masticpond-Forward-Statement";

    /**
     * Connection option of an instance that reads statements. An instance of a former version
     * removes it like any connection option, and one that does not send it gets no statements,
     * which it would pass on to its client.
     */
    private static final String ACCEPTS_STATEMENTS = "Masticpond-Forward-Statements";

    private static final long MILLIS_PER_SECOND = 1_000;

    private final HeaderNames mNames;

    /**
     * Creates a codec.
     *
     * @param names the names of the platform's headers
     */
    public ForwardHeaders(HeaderNames names) {
        mNames = Assert.notNull(names, "Header names");
    }

    /**
     * Writes the terms of a request, and that statements are accepted with the answer.
     *
     * @param terms the terms
     * @param headers the headers of the request
     */
    public void writeTerms(ForwardTerms terms, HttpHeaders headers) {
        headers.set(SERVICE, URLEncoder.encode(terms.service().value(), StandardCharsets.UTF_8));
        headers.set(ATTEMPTS, Integer.toString(terms.attempts()));
        headers.set(HttpHeaderNames.CONNECTION, ACCEPTS_STATEMENTS);
        headers.remove(KEY);
        terms.key().ifPresent(key -> headers.set(KEY, key.toHexadecimal()));
    }

    /**
     * Reads the terms of a request and removes their headers.
     *
     * @param headers the headers of the request
     * @return the terms, or empty if they are missing or malformed
     */
    public Optional<ForwardTerms> takeTerms(HttpHeaders headers) {
        String service = take(SERVICE, headers);
        String attempts = take(ATTEMPTS, headers);
        String key = take(KEY, headers);
        if (service == null || attempts == null) {
            return Optional.empty();
        }
        try {
            return Optional.of(
                    new ForwardTerms(
                            new ServiceId(URLDecoder.decode(service, StandardCharsets.UTF_8)),
                            Optional.ofNullable(key).map(KeyDigest::parse),
                            Integer.parseInt(attempts)));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private static String take(String name, HttpHeaders headers) {
        String value = headers.get(name);
        headers.remove(name);
        return value;
    }

    /** Determines whether the instance that forwarded a request accepts statements. */
    boolean acceptsStatements(HttpHeaders headers) {
        return headers.containsValue(HttpHeaderNames.CONNECTION, ACCEPTS_STATEMENTS, true);
    }

    /**
     * Writes what backend servers stated in their answers to a request.
     *
     * @param statements the statements; empty if the other instance accepts none
     * @param headers the headers of the answer
     */
    void writeStatements(List<AttributedStatement> statements, HttpHeaders headers) {
        headers.remove(STATEMENT);
        statements.forEach(each -> headers.add(STATEMENT, StatementCodec.encode(each)));
    }

    /**
     * Reads what backend servers stated in their answers to a request and removes these headers.
     *
     * @param headers the headers of the answer
     * @return the statements, without malformed ones; empty from an instance of a former version
     */
    List<AttributedStatement> takeStatements(HttpHeaders headers) {
        List<String> values = headers.getAll(STATEMENT);
        headers.remove(STATEMENT);
        return values.stream().map(StatementCodec::decode).flatMap(Optional::stream).toList();
    }

    /**
     * Writes how a request ended.
     *
     * @param outcome the outcome
     * @param cause the cause, or null if a backend server answered
     * @param headers the headers of the answer
     */
    void writeOutcome(RequestOutcome outcome, String cause, HttpHeaders headers) {
        headers.set(OUTCOME, outcome.name());
        headers.remove(CAUSE);
        if (cause != null) {
            headers.set(CAUSE, cause);
        }
    }

    /**
     * Reads how a request ended and removes these headers.
     *
     * @param headers the headers of the answer
     * @return the outcome, or empty if it is missing or unknown
     */
    Optional<RequestOutcome> takeOutcome(HttpHeaders headers) {
        String name = take(OUTCOME, headers);
        for (RequestOutcome each : RequestOutcome.values()) {
            if (each.name().equals(name)) {
                return Optional.of(each);
            }
        }
        return Optional.empty();
    }

    /** Reads the cause and removes its header. */
    String takeCause(HttpHeaders headers) {
        String cause = take(CAUSE, headers);
        return cause == null || cause.isBlank() ? "unknown" : cause;
    }

    /** Reads the time after which the client may retry. */
    Optional<Duration> retryAfter(HttpHeaders headers) {
        try {
            return Optional.ofNullable(headers.get(mNames.retryAfter()))
                    .map(Double::parseDouble)
                    .map(seconds -> Duration.ofMillis((long) (seconds * MILLIS_PER_SECOND)));
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
