package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.ConnectException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.regex.Pattern;
import net.jqwik.api.Example;

/** Tests of the planned stop of a complete instance. */
class EntryStopTest extends AbstractEntryInstanceTest {

    /** Longer than an instance accepts connections once its stop has begun. */
    private static final int ACCEPT_SECONDS = 4;

    private static final byte[] REQUEST =
            "GET /any HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                    .getBytes(StandardCharsets.US_ASCII);

    private int mMetricsPort;

    @Example
    void instanceWithSpendingCapTakesAnAllotmentAtItsStartAndReturnsItAtItsStop() throws Exception {
        JsonNode spending = startWithSpendingCap();
        assertThat(spending.path("service").asText()).isEqualTo("orders");
        assertThat(spending.path("capMicros").asInt()).isEqualTo(9_000);
        assertThat(spending.path("heldMicros")).isEqualTo(spending.path("allottedMicros"));
        assertThat(get(mMetricsPort, "/metrics").body())
                .contains("masticpond_entry_spending_cap_micros 9000.0");
        assertThat(mLedgers.mAllotted.get()).isPositive();
        mInstance.stop();
        mEnded.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        assertThat(mLedgers.mAllotted.get()).as("the allotment is returned completely").isZero();
    }

    /** Guards against an allotment that is lost because a client keeps its connection open. */
    @Example
    void returnsTheAllotmentIfTheStopEndsAtItsDeadline() throws Exception {
        mBounds = "{\"stop\": \"3s\"}";
        startWithSpendingCap();
        try (Socket incomplete = new Socket(HOST, mEntryPort)) {
            incomplete.getOutputStream().write("GET ".getBytes(StandardCharsets.US_ASCII));
            mInstance.stop();
            mEnded.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        }
        assertThat(mLedgers.mAllotted.get()).as("the allotment is returned completely").isZero();
    }

    /** Starts with a spending cap and returns its state once an allotment is held. */
    private JsonNode startWithSpendingCap() throws IOException, InterruptedException {
        String shift =
                "{\"name\": \"%s\", \"start\": \"%s\", \"end\": \"%s\", \"capMicros\": 9000}";
        String shifts =
                String.format(shift, "early", "00:00", "12:00")
                        + ", "
                        + String.format(shift, "late", "12:00", "00:00");
        mMetricsPort =
                start(
                        """
                        , "spending": {"version": 1, "services": [{"service": "orders",
                        "timeZone": "UTC", "shifts": [SHIFTS],
                        "prices": [{"region": "r", "attemptMicros": 10}]}]}}
                        """
                                .replace("SHIFTS", shifts));
        Pattern held = Pattern.compile("\"heldMicros\":[1-9].*\"state\":\"open\"");
        return new ObjectMapper()
                .readTree(getUntil(mMetricsPort, "/v1/budget", held).body())
                .path("spendings")
                .get(0);
    }

    /** Guards against a process that ends while a connection waits to be accepted. */
    @Example
    void processDoesNotEndWhileConnectionsWaitForTheTrafficThread() throws Exception {
        start();
        try (Socket first = send(mEntryPort)) {
            assertThat(first.getInputStream().readAllBytes()).asString().contains(" 503 ");
        }
        try (Socket blocking = send(mDirectoryPort)) {
            assertThat(mTrafficBlocked.await(TIMEOUT_NANOS, TimeUnit.NANOSECONDS)).isTrue();
            mInstance.stop();
            try (Socket waiting = send(mEntryPort)) {
                assertThatThrownBy(() -> mEnded.get(ACCEPT_SECONDS, TimeUnit.SECONDS))
                        .isInstanceOf(TimeoutException.class);
                mTrafficRelease.complete(null);
                assertThat(waiting.getInputStream().readAllBytes()).asString().contains(" 503 ");
            }
        }
        mEnded.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Guards against a process that ends at its deadline while requests are unanswered. */
    @Example
    void processDoesNotEndBeforeTheTrafficThreadHasAnsweredAtTheDeadline() throws Exception {
        mBounds = "{\"stop\": \"1s\"}";
        start();
        try (Socket blocking = send(mDirectoryPort)) {
            assertThat(mTrafficBlocked.await(TIMEOUT_NANOS, TimeUnit.NANOSECONDS)).isTrue();
            mInstance.stop();
            assertThatThrownBy(() -> mEnded.get(ACCEPT_SECONDS, TimeUnit.SECONDS))
                    .isInstanceOf(TimeoutException.class);
            mTrafficRelease.complete(null);
            mEnded.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
        }
    }

    /** Guards against look-ups that are cut by the end of the process. */
    @Example
    void closesConnectionsToTheDirectoryBeforeTheProcessEnds() throws Exception {
        start();
        send(mEntryPort).close();
        try (Socket idle = new Socket(HOST, mDirectoryPort)) {
            idle.setSoTimeout(ACCEPT_SECONDS * 1000);
            mInstance.stop();
            assertThat(idle.getInputStream().read()).as("the end of the connection").isEqualTo(-1);
            assertThat(mEnded).isNotDone();
        }
        mEnded.get(TIMEOUT_NANOS, TimeUnit.NANOSECONDS);
    }

    /** Connects once the instance listens, and sends a request that closes its connection. */
    private static Socket send(int port) throws IOException {
        long begin = System.nanoTime();
        while (true) {
            try {
                Socket socket = new Socket(HOST, port);
                socket.getOutputStream().write(REQUEST);
                return socket;
            } catch (ConnectException exception) {
                if (System.nanoTime() - begin > TIMEOUT_NANOS) {
                    throw exception;
                }
                Thread.yield();
            }
        }
    }
}
