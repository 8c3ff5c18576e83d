package io.masticpond.daemon.platform;

import static io.masticpond.daemon.platform.StoreFixture.KEY;
import static io.masticpond.daemon.platform.StoreFixture.await;
import static io.masticpond.daemon.platform.StoreFixture.bytes;
import static org.assertj.core.api.Assertions.assertThat;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.masticpond.core.time.SystemTimeSource;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;
import org.apache.commons.rng.simple.RandomSource;

/** Tests that answers which violate the object API are never accepted as valid. */
class HostileAnswersTest {

    private static final int OVERSIZED_BYTES = 2 << 20;

    private final HttpServer mServer;
    private final HttpObjectStore mStore;
    private volatile int mStatus = 200;
    private volatile String mEntityTag;
    private volatile String mContentType = "application/json";
    private volatile byte[] mBody = {};
    private volatile int mDeclaredLength;

    HostileAnswersTest() throws IOException {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        mServer = HttpServer.create(new InetSocketAddress(loopback, 0), 0);
        mServer.createContext("/", this::answer);
        mServer.start();
        mStore =
                new HttpObjectStore(
                        StoreFixture.settings(
                                StoreFixture.BUDGET, "127.0.0.1:" + mServer.getAddress().getPort()),
                        new SystemTimeSource(),
                        RandomSource.XO_RO_SHI_RO_128_PP.create(1),
                        PlatformObserver.NONE);
    }

    @AfterTry
    void close() {
        mStore.close();
        mServer.stop(0);
    }

    @Example
    void writesWithoutNewVersionInTheAnswerAreUncertain() {
        for (String tag : new String[] {null, "", "7", "\"-1\"", "\"0\"", "\"3\"", "W/\"9\""}) {
            mEntityTag = tag;
            assertUncertain(await(mStore.write(KEY, 3, bytes("value"))));
        }
    }

    @Example
    void writesWithUnknownStatusAreUncertain() {
        for (int status : new int[] {204, 302, 404, 408, 500, 502, 504}) {
            mStatus = status;
            assertUncertain(await(mStore.write(KEY, 3, bytes("value"))));
        }
    }

    @Example
    void conflictsWithExpectedVersionReturnNoObject() {
        mStatus = 412;
        mEntityTag = "\"3\"";
        PlatformError error = await(mStore.write(KEY, 3, bytes("value"))).getLeft();
        assertThat(error).isEqualTo(new PlatformError.Conflict(Optional.empty()));
    }

    @Example
    void rejectsObjectsWithoutVersion() {
        mBody = bytes("value");
        assertAway(await(mStore.read(KEY)));
    }

    @Example
    void watchesRejectVersionsAlreadySeen() {
        mEntityTag = "\"3\"";
        assertAway(await(mStore.watch(KEY, 3, Duration.ofMillis(100))));
        assertThat(await(mStore.watch(KEY, 2, Duration.ofMillis(100))).isRight()).isTrue();
    }

    @Example
    void notFoundWithoutProblemDocumentIsNotMissingObject() {
        mStatus = 404;
        mContentType = "text/html";
        assertAway(await(mStore.read(KEY)));
        mContentType = "application/problem+json";
        assertThat(await(mStore.read(KEY)).get()).isEmpty();
    }

    @Example
    void rejectsOversizedAnswers() {
        mEntityTag = "\"3\"";
        mBody = new byte[OVERSIZED_BYTES];
        assertAway(await(mStore.read(KEY)));
    }

    @Example
    void rejectsTruncatedAnswers() {
        mEntityTag = "\"3\"";
        mBody = bytes("half");
        mDeclaredLength = 100;
        assertAway(await(mStore.read(KEY)));
    }

    @Example
    void rejectsMalformedOrUnorderedLists() {
        List<String> bodies =
                List.of(
                        "",
                        "null",
                        "[]",
                        "{\"names\":null}",
                        "{\"names\":[null]}",
                        "{\"names\":[\"b\",\"a\"]}",
                        "{\"names\":[\"a\",\"a\"]}",
                        "{\"names\":[\"a\"]}{}",
                        "[".repeat(100_000));
        for (String body : bodies) {
            mBody = bytes(body);
            assertThat(await(mStore.list(ObjectKind.PLAN, "")).isLeft()).as(body).isTrue();
            awaitClosedBreaker();
        }
    }

    @Example
    void rejectsInstancesWithInvalidNames() {
        mBody = bytes("{\"instances\":[{\"id\":\"../x\",\"zone\":\"z\",\"linkAddress\":\"a\"}]}");
        assertAway(await(mStore.instances()));
    }

    /**
     * Serves valid answers until the circuit breaker is closed, so that the next case is actually
     * sent.
     */
    private void awaitClosedBreaker() {
        int status = mStatus;
        mStatus = 200;
        mBody = bytes("{\"names\":[]}");
        long deadlineNanos = System.nanoTime() + Duration.ofSeconds(60).toNanos();
        while (await(mStore.list(ObjectKind.PLAN, "")).isLeft()) {
            assertThat(System.nanoTime()).isLessThan(deadlineNanos);
        }
        mStatus = status;
        mBody = bytes("");
    }

    private void assertUncertain(Either<PlatformError, Long> result) {
        assertThat(result.getLeft()).isInstanceOf(PlatformError.Uncertain.class);
        awaitClosedBreaker();
    }

    private static void assertAway(Either<PlatformError, ?> result) {
        assertThat(result.getLeft()).isInstanceOf(PlatformError.Away.class);
    }

    private void answer(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            exchange.getResponseHeaders().set("Content-Type", mContentType);
            if (mEntityTag != null) {
                exchange.getResponseHeaders().set("ETag", mEntityTag);
            }
            int length = Math.max(mDeclaredLength, mBody.length);
            exchange.sendResponseHeaders(mStatus, length == 0 ? -1 : length);
            try (OutputStream body = exchange.getResponseBody()) {
                body.write(mBody);
            }
        }
    }
}
