package io.masticpond.measure.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;

/**
 * Statistics of how requests ended, as their callers observed it.
 *
 * <p>Thread-safe.
 *
 * @since 0.1
 */
public final class LoadStatistics {

    /** Outcome of a request that a backend server answered. */
    public static final String ANSWERED = "answered";

    private static final long MAX_LATENCY_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final int MAX_LISTED_MISMATCHES = 10;

    private final LongAdder mRequests = new LongAdder();
    private final LongAdder mAnswered = new LongAdder();
    private final LongAdder mMismatched = new LongAdder();
    private final LongAdder mUnanswered = new LongAdder();
    private final Queue<String> mMismatches = new ConcurrentLinkedQueue<>();
    private final Map<String, LongAdder> mRefusals = new ConcurrentSkipListMap<>();
    private final ConcurrentHistogram mLatencyMicros =
            new ConcurrentHistogram(MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS);

    /**
     * Records a complete HTTP answer.
     *
     * @param reply the answer
     * @param nanos the latency, in nanoseconds
     * @param request the request that was sent
     * @return {@link #ANSWERED}, or the verdict and cause of a refusal
     */
    public String recordReply(HttpCalls.HttpReply reply, long nanos, SentRequest request) {
        mRequests.increment();
        String type = reply.headers().get("Content-Type");
        if (type != null && type.startsWith("application/problem+json")) {
            return countRefusal(refusalOutcome(reply));
        }
        mAnswered.increment();
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        mLatencyMicros.recordValue(Math.min(MAX_LATENCY_MICROS, micros));
        if (!isEchoOf(reply, request)) {
            mMismatched.increment();
            if (mMismatches.size() < MAX_LISTED_MISMATCHES) {
                mMismatches.add(
                        request.target()
                                + " got "
                                + reply.status()
                                + " "
                                + reply.headers().get("Masticpond-Request-Id")
                                + ": "
                                + new String(reply.body(), StandardCharsets.UTF_8));
            }
        }
        return ANSWERED;
    }

    /**
     * Records a request without an HTTP answer.
     *
     * @param onceOnly whether it was a once-only operation
     * @param reason the reason for the missing answer
     * @return the outcome under which it is counted in {@link #refusals()}
     */
    public String recordUnanswered(boolean onceOnly, String reason) {
        mRequests.increment();
        mUnanswered.increment();
        return countRefusal("unanswered" + (onceOnly ? " (once-only): " : ": ") + reason);
    }

    /**
     * Returns the number of completed requests.
     *
     * @return the count, including requests without an answer
     */
    public long requests() {
        return mRequests.sum();
    }

    /**
     * Returns the number of complete answers of backend servers.
     *
     * @return the count
     */
    public long answered() {
        return mAnswered.sum();
    }

    /**
     * Returns the number of answers that belonged to another request.
     *
     * @return the count
     */
    public long mismatched() {
        return mMismatched.sum();
    }

    /**
     * Returns the first ten answers that belonged to another request.
     *
     * @return the target of the request with the status, the request's id and the body of the
     *     answer
     */
    public List<String> mismatches() {
        return List.copyOf(mMismatches);
    }

    /**
     * Returns the number of requests without an HTTP answer.
     *
     * @return the count
     */
    public long unanswered() {
        return mUnanswered.sum();
    }

    /**
     * Returns the numbers of requests that no backend server answered, by verdict and cause.
     *
     * @return the counts by the text of the outcome, in its order
     */
    public Map<String, Long> refusals() {
        Map<String, Long> counts = new TreeMap<>();
        mRefusals.forEach((outcome, count) -> counts.put(outcome, count.sum()));
        return counts;
    }

    /**
     * Returns a percentile of the latency of answered requests.
     *
     * @param percentile the percentile, from 0 to 100
     * @return the latency, in milliseconds; latencies above two minutes count as two minutes
     */
    public double latencyMillis(double percentile) {
        return mLatencyMicros.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static String refusalOutcome(HttpCalls.HttpReply reply) {
        try {
            JsonNode problem = reply.json();
            return problem.path("verdict").asText("no verdict")
                    + ": "
                    + problem.path("cause").asText("no cause");
        } catch (IOException e) {
            return "unreadable refusal";
        }
    }

    private String countRefusal(String outcome) {
        mRefusals.computeIfAbsent(outcome, each -> new LongAdder()).increment();
        return outcome;
    }

    private static boolean isEchoOf(HttpCalls.HttpReply reply, SentRequest request) {
        try {
            JsonNode echo = reply.json();
            return echo.path("target").asText().endsWith(" " + request.target())
                    && echo.path("digest").asText().equals(request.digest())
                    && (hasOwnId(reply, echo) || mayBeEarlierAttempt(request, echo));
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean hasOwnId(HttpCalls.HttpReply reply, JsonNode echo) {
        return echo.path("requestId").asText().equals(reply.headers().get("Masticpond-Request-Id"));
    }

    /**
     * Determines whether an answer may belong to an earlier attempt. A retry under an operation key
     * receives the answer of the attempt that was executed, with the id of that attempt.
     */
    private static boolean mayBeEarlierAttempt(SentRequest request, JsonNode echo) {
        return request.attempts() > 1 && !echo.path("operationId").asText("").isEmpty();
    }

    /**
     * Request that a caller sent, whose parts the backend server echoes.
     *
     * @param target the path and query, unique to this request
     * @param digest the SHA-256 digest of the body, in hexadecimal
     * @param attempts the number of times that the caller sent it, under the same operation key if
     *     it has one
     */
    public record SentRequest(String target, String digest, int attempts) {}
}
