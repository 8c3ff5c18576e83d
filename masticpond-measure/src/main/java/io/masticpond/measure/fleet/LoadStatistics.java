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
 * Counts how requests ended, as their callers saw it; safe for all threads.
 *
 * @since 0.1
 */
public final class LoadStatistics {

    /** How a request ended that a backend server answered. */
    public static final String ANSWERED = "answered";

    private static final long HIGHEST_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int DIGITS = 3;
    private static final int LISTED_MISMATCHES = 10;

    private final LongAdder mRequests = new LongAdder();
    private final LongAdder mAnswered = new LongAdder();
    private final LongAdder mMismatched = new LongAdder();
    private final LongAdder mUnanswered = new LongAdder();
    private final Queue<String> mMismatches = new ConcurrentLinkedQueue<>();
    private final Map<String, LongAdder> mRefusals = new ConcurrentSkipListMap<>();
    private final ConcurrentHistogram mLatency = new ConcurrentHistogram(HIGHEST_MICROS, DIGITS);

    /**
     * Counts a whole HTTP answer.
     *
     * @param reply the answer
     * @param nanos how long it took, in nanoseconds
     * @param request what was asked for
     * @return {@link #ANSWERED}, or the verdict and cause
     */
    public String ended(HttpCalls.HttpReply reply, long nanos, SentRequest request) {
        mRequests.increment();
        String type = reply.headers().get("Content-Type");
        if (type != null && type.startsWith("application/problem+json")) {
            return count(refusal(reply));
        }
        mAnswered.increment();
        long micros = TimeUnit.NANOSECONDS.toMicros(nanos);
        mLatency.recordValue(Math.min(HIGHEST_MICROS, micros));
        if (!isEchoOf(reply, request)) {
            mMismatched.increment();
            if (mMismatches.size() < LISTED_MISMATCHES) {
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
     * Counts a request without an HTTP answer.
     *
     * @param onceOnly whether it was a once-only operation
     * @param reason why
     * @return the kind that it was counted as
     */
    public String unanswered(boolean onceOnly, String reason) {
        mRequests.increment();
        mUnanswered.increment();
        return count("unanswered" + (onceOnly ? " (once-only): " : ": ") + reason);
    }

    /**
     * Counts the requests that ended.
     *
     * @return the count
     */
    public long requests() {
        return mRequests.sum();
    }

    /**
     * Counts the whole answers of backend servers.
     *
     * @return the count
     */
    public long answered() {
        return mAnswered.sum();
    }

    /**
     * Counts the answers that were to another request.
     *
     * @return the count
     */
    public long mismatched() {
        return mMismatched.sum();
    }

    /**
     * Lists the first answers that were to another request.
     *
     * @return what was asked for, the status, the request's id and the body of each
     */
    public List<String> mismatches() {
        return List.copyOf(mMismatches);
    }

    /**
     * Counts the requests without an HTTP answer.
     *
     * @return the count
     */
    public long unanswered() {
        return mUnanswered.sum();
    }

    /**
     * Counts what was not answered, by verdict and cause.
     *
     * @return the counts
     */
    public Map<String, Long> refusals() {
        Map<String, Long> counts = new TreeMap<>();
        mRefusals.forEach((kind, count) -> counts.put(kind, count.sum()));
        return counts;
    }

    /**
     * Gives a percentile of the latency of answered requests.
     *
     * @param percentile from 0 to 100
     * @return milliseconds
     */
    public double latencyMillis(double percentile) {
        return mLatency.getValueAtPercentile(percentile) / 1_000.0;
    }

    private static String refusal(HttpCalls.HttpReply reply) {
        try {
            JsonNode problem = reply.json();
            return problem.get("verdict").asText() + ": " + problem.get("cause").asText();
        } catch (IOException e) {
            return "unreadable refusal";
        }
    }

    private String count(String kind) {
        mRefusals.computeIfAbsent(kind, each -> new LongAdder()).increment();
        return kind;
    }

    private static boolean isEchoOf(HttpCalls.HttpReply reply, SentRequest request) {
        try {
            JsonNode echo = reply.json();
            return echo.path("target").asText().endsWith(" " + request.target())
                    && echo.path("digest").asText().equals(request.digest())
                    && (isOwnId(reply, echo) || mayBeEarlierAttempt(request, echo));
        } catch (IOException e) {
            return false;
        }
    }

    private static boolean isOwnId(HttpCalls.HttpReply reply, JsonNode echo) {
        return echo.path("requestId").asText().equals(reply.headers().get("Masticpond-Request-Id"));
    }

    /** A repeat under an operation key gets the end of the attempt that ran, with that one's id. */
    private static boolean mayBeEarlierAttempt(SentRequest request, JsonNode echo) {
        return request.attempts() > 1 && !echo.path("operationId").asText("").isEmpty();
    }

    /**
     * What a caller asked for, which the backend server echoes.
     *
     * @param target the path and query, which no other request has
     * @param digest the digest of the body
     * @param attempts how often the caller sent it, under the same operation key if it has one
     */
    public record SentRequest(String target, String digest, int attempts) {}
}
