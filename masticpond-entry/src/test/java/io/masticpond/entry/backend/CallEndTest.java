package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests the end of calls by limits, cancellation and timeouts. */
class CallEndTest {

    private static final long SHORT_NANOS = TimeUnit.MILLISECONDS.toNanos(30);

    private static BackendRequest shortRequest() {
        return BackendFixture.request("short", HttpMethod.GET, Unpooled.EMPTY_BUFFER, SHORT_NANOS);
    }

    @Example
    void aRequestBeyondTheMaximumOfConnectionsDoesNotRun() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener second =
                    backends.onLoop(
                            () -> {
                                backends.sendOnLoop(BackendFixture.get("first"), 1);
                                return backends.sendOnLoop(BackendFixture.get("second"), 1);
                            });
            second.assertFailed(CallFailure.Kind.NO_CONNECTION_FREE, Verdict.DID_NOT_RUN);
            assertThat(backends.opened()).isEqualTo(1);
        }
    }

    @Example
    void aServerThatRefusesConnectionsDidNotRunTheRequest() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.mServer.close();
            backends.send("a").assertFailed(CallFailure.Kind.NOT_CONNECTED, Verdict.DID_NOT_RUN);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void requestThatIsWithdrawnWhileItsConnectionOpensIsNeverSent() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener withdrawn = new RecordingCallListener();
            withdrawn.mMayBegin = false;
            backends.onLoop(
                    () ->
                            backends.mConnections.send(
                                    backends.mTarget, 1, BackendFixture.get("never"), withdrawn));
            withdrawn.assertFailed(CallFailure.Kind.WITHDRAWN, Verdict.DID_NOT_RUN);
            assertThat(backends.idle())
                    .as("the connection stays open for other calls")
                    .isEqualTo(1);
            backends.send("next");
            assertThat(backends.mServer.accept().readHead()).contains("next");
            assertThat(backends.opened()).isEqualTo(1);
        }
    }

    @Example
    void aCallCancelledBeforeItsConnectionIsOpenIsNeverSent() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener cancelled = new RecordingCallListener();
            backends.onLoop(
                    () -> {
                        BackendCall call =
                                backends.mConnections.send(
                                        backends.mTarget,
                                        1,
                                        BackendFixture.get("never"),
                                        cancelled);
                        assertThat(call.isWritten()).isFalse();
                        call.cancel();
                        return null;
                    });
            RecordingCallListener next =
                    backends.onLoop(() -> backends.sendOnLoop(BackendFixture.get("next"), 1));
            RawServer.Connection connection = backends.mServer.accept();
            assertThat(connection.readHead()).contains("X-Request-Id: next");
            connection.answer("next", "x");
            next.answer();
            assertThat(cancelled.isEnded()).isFalse();
            assertThat(backends.opened()).isEqualTo(1);
        }
    }

    @Example
    void aCallCancelledWhenWrittenEndsItsConnection() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener cancelled = new RecordingCallListener();
            BackendCall call =
                    backends.onLoop(
                            () ->
                                    backends.mConnections.send(
                                            backends.mTarget,
                                            1,
                                            BackendFixture.get("a"),
                                            cancelled));
            RawServer.Connection connection = backends.mServer.accept();
            connection.readHead();
            boolean wasWritten =
                    backends.onLoop(
                            () -> {
                                boolean isWritten = call.isWritten();
                                call.cancel();
                                return isWritten;
                            });
            assertThat(wasWritten).isTrue();
            assertThat(connection.isEnded()).isTrue();
            assertThat(cancelled.isEnded()).isFalse();
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aTimeoutClosesItsConnectionAndIdleOnesIfTheServerWasUnresponsive() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            List<RecordingCallListener> pair =
                    backends.onLoop(
                            () ->
                                    List.of(
                                            backends.sendOnLoop(BackendFixture.get("a"), 2),
                                            backends.sendOnLoop(BackendFixture.get("b"), 2)));
            RawServer.Connection one = backends.mServer.accept();
            RawServer.Connection two = backends.mServer.accept();
            for (RawServer.Connection each : List.of(one, two)) {
                String id = each.readHead().contains("Id: a") ? "a" : "b";
                each.answer(id, "x");
            }
            pair.get(0).answer();
            pair.get(1).answer();
            backends.advance(1);
            backends.send(shortRequest())
                    .assertFailed(CallFailure.Kind.TIMED_OUT, Verdict.MAY_HAVE_RUN);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aTimeoutBeforeAnyByteIsWrittenMeansTheRequestDidNotRun() throws Exception {
        try (BackendFixture backends = new BackendFixture();
                AutoCloseable full = backends.mServer.fill()) {
            backends.send(shortRequest())
                    .assertFailed(CallFailure.Kind.TIMED_OUT, Verdict.DID_NOT_RUN);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aConnectionThatDoesNotOpenInTimeMeansTheRequestDidNotRun() throws Exception {
        ConnectionOptions shortTimeouts =
                new ConnectionOptions("X-Request-Id", "X-No", SHORT_NANOS, SHORT_NANOS, 9);
        try (BackendFixture backends = new BackendFixture(shortTimeouts);
                AutoCloseable full = backends.mServer.fill()) {
            backends.send("a").assertFailed(CallFailure.Kind.NOT_CONNECTED, Verdict.DID_NOT_RUN);
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void closeFailsWrittenAndWaitingCalls() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener written = backends.send("a");
            backends.mServer.accept().readHead();
            RecordingCallListener waiting =
                    backends.onLoop(
                            () -> {
                                RecordingCallListener recorder =
                                        backends.sendOnLoop(BackendFixture.get("b"), 2);
                                backends.mConnections.close();
                                return recorder;
                            });
            written.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            waiting.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.DID_NOT_RUN);
            assertThat(backends.open()).isZero();
            backends.send("c").assertFailed(CallFailure.Kind.NOT_CONNECTED, Verdict.DID_NOT_RUN);
        }
    }

    @Example
    void aRequestThatCouldSmuggleAnotherIsRejected() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            DefaultHttpHeaders headers = new DefaultHttpHeaders(false);
            headers.add("Some", "value\r\nOther: one");
            BackendRequest split =
                    new BackendRequest(
                            "a", HttpMethod.GET, "/", headers, Unpooled.EMPTY_BUFFER, 1, true);
            BackendRequest spaced =
                    new BackendRequest(
                            "a",
                            HttpMethod.GET,
                            "/ HTTP/1.1",
                            new DefaultHttpHeaders(),
                            Unpooled.EMPTY_BUFFER,
                            1,
                            true);
            for (BackendRequest request : List.of(split, spaced)) {
                assertThatThrownBy(() -> backends.sendOnLoop(request, 1))
                        .isInstanceOf(IllegalArgumentException.class);
            }
        }
    }
}
