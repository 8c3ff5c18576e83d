package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.probe.ProbeResult;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests probes over real connections on loopback. */
class ProbeClientTest {

    /** Guards against a health answer that is rejected since it does not echo the request id. */
    @Example
    void answerWithoutRequestIdIsAccepted() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            CompletableFuture<Either<ProbeResult, ProbeAnswer>> end = probe(fixture);
            RawServer.Connection connection = fixture.mServer.accept();
            assertThat(connection.readHead())
                    .startsWith("GET /health HTTP/1.1\r\n")
                    .doesNotContain("X-Request-Id");
            connection.send("HTTP/1.1 200 OK\r\nLoad: 1,0,6,250\r\nContent-Length: 2\r\n\r\nok");
            ProbeAnswer answer = end.get(60, TimeUnit.SECONDS).get();
            assertThat(answer.status()).isEqualTo(200);
            assertThat(answer.headers().get("Load")).isEqualTo("1,0,6,250");
            assertThat(fixture.idle()).as("the connection is kept for requests").isEqualTo(1);
        }
    }

    /** Guards against a connection for each probe, which costs the server work. */
    @Example
    void probeUsesIdleConnectionAndRequestUsesItAfterwards() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            RawServer.Connection connection = fixture.openIdleConnection("");
            CompletableFuture<Either<ProbeResult, ProbeAnswer>> end = probe(fixture);
            connection.readHead();
            connection.send("HTTP/1.1 503 Busy\r\nLoad: 6,9,6\r\nContent-Length: 0\r\n\r\n");
            assertThat(end.get(60, TimeUnit.SECONDS).get().status()).isEqualTo(503);
            RecordingCallListener next = fixture.send("next");
            connection.readHead();
            connection.answer("next", "x");
            assertThat(next.answer().body()).isEqualTo("x");
            assertThat(fixture.opened()).isEqualTo(1);
        }
    }

    /** Guards against an answer to an earlier request that is taken for the probe's. */
    @Example
    void answerWithForeignRequestIdIsNotAccepted() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            CompletableFuture<Either<ProbeResult, ProbeAnswer>> end = probe(fixture);
            RawServer.Connection connection = fixture.mServer.accept();
            connection.readHead();
            connection.answer("other", "x");
            assertThat(end.get(60, TimeUnit.SECONDS).getLeft()).isEqualTo(ProbeResult.NO_ANSWER);
        }
    }

    /** Guards against the loss of what a server stated before its answer broke off. */
    @Example
    void headOfAnswerThatBreaksOffCounts() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            CompletableFuture<Either<ProbeResult, ProbeAnswer>> end = probe(fixture);
            RawServer.Connection connection = fixture.mServer.accept();
            connection.readHead();
            connection.send("HTTP/1.1 200 OK\r\nLoad: 1,0,6\r\nContent-Length: 9\r\n\r\nx");
            connection.close();
            assertThat(end.get(60, TimeUnit.SECONDS).get().headers().get("Load"))
                    .isEqualTo("1,0,6");
        }
    }

    /** Guards against a silent server whose idle connections are all closed by a probe. */
    @Example
    void probeWithoutAnswerEndsAndClosesOnlyItsConnection() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            RecordingCallListener first = fixture.send("first");
            RecordingCallListener second = fixture.send("second");
            RawServer.Connection one = fixture.mServer.accept();
            RawServer.Connection other = fixture.mServer.accept();
            for (RawServer.Connection each : new RawServer.Connection[] {one, other}) {
                boolean isFirst = each.readHead().contains("X-Request-Id: first");
                each.answer(isFirst ? "first" : "second", "x");
            }
            first.answer();
            second.answer();
            assertThat(probe(fixture).get(60, TimeUnit.SECONDS).getLeft())
                    .isEqualTo(ProbeResult.NO_ANSWER);
            assertThat(fixture.open()).isEqualTo(1);
            assertThat(fixture.idle()).isEqualTo(1);
        }
    }

    /** Guards against a probe that never ends when its server refuses connections. */
    @Example
    void probeOfServerThatRefusesConnectionsFails() throws Exception {
        try (BackendFixture fixture = new BackendFixture()) {
            fixture.mServer.close();
            assertThat(probe(fixture).get(60, TimeUnit.SECONDS).getLeft())
                    .isEqualTo(ProbeResult.FAILED);
        }
    }

    private static CompletableFuture<Either<ProbeResult, ProbeAnswer>> probe(BackendFixture fixture)
            throws Exception {
        ProbeClient client =
                new ProbeClient(fixture.mConnections, fixture.loop(), fixture.mClock, "probe-");
        CompletableFuture<Either<ProbeResult, ProbeAnswer>> end = new CompletableFuture<>();
        fixture.onLoop(
                () -> {
                    client.send(fixture.mTarget, 8, "/health", end::complete);
                    return null;
                });
        return end;
    }
}
