package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import net.jqwik.api.Example;

/** Tests that connections are reused only when that is safe, and that no request is sent twice. */
class ConnectionReuseTest {

    private static final String TEN_SECONDS = "Keep-Alive: timeout=10\r\n";

    private static void assertOpensAnother(BackendFixture backends) throws Exception {
        RecordingCallListener second = backends.send("second");
        RawServer.Connection other = backends.mServer.accept();
        other.readHead();
        other.answer("second", "y");
        assertThat(second.answer().body()).isEqualTo("y");
        assertThat(backends.opened()).isEqualTo(2);
    }

    @Example
    void anIdleConnectionServesTheNextRequest() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection =
                    backends.openIdleConnection("Keep-Alive: timeout=5\r\n");
            backends.advance(3900);
            RecordingCallListener second = backends.send("second");
            assertThat(connection.readHead())
                    .isEqualTo(
                            "GET /path?q=1 HTTP/1.1\r\nHost: host\r\nX-Request-Id: second\r\n\r\n");
            connection.answer("second", "y");
            second.answer();
            assertThat(backends.opened()).isEqualTo(1);
            assertThat(backends.idle()).isEqualTo(1);
        }
    }

    @Example
    void aConnectionNearItsStatedOrDefaultIdleTimeIsNotReused() throws Exception {
        for (String headers :
                new String[] {
                    "Keep-Alive: max=9, timeout=5\r\n", "", "Keep-Alive: timeout=1\r\n"
                }) {
            try (BackendFixture backends = new BackendFixture()) {
                RawServer.Connection connection = backends.openIdleConnection(headers);
                backends.advance(4000);
                assertOpensAnother(backends);
                assertThat(connection.isEnded()).isTrue();
            }
        }
    }

    @Example
    void aConnectionThatTheServerWillCloseIsNotReused() throws Exception {
        for (String headers : new String[] {"Connection: close\r\n", "Keep-Alive: timeout=0\r\n"}) {
            try (BackendFixture backends = new BackendFixture()) {
                backends.openIdleConnection(headers);
                assertThat(backends.open()).isZero();
                assertOpensAnother(backends);
            }
        }
    }

    /**
     * While a machine is suspended for seconds, its monotonic clock stops, but servers close idle
     * connections meanwhile. For a request sent on such a connection it is unknown whether it ran.
     */
    @Example
    void aConnectionIdleWhileTheMachineWasSuspendedIsNotReused() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.openIdleConnection("Keep-Alive: timeout=5\r\n");
            backends.suspend(4100);
            assertOpensAnother(backends);
        }
    }

    @Example
    void settingTheWallClockBackKeepsNoConnectionLonger() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.openIdleConnection("Keep-Alive: timeout=5\r\n");
            backends.suspend(-60_000);
            backends.advance(4000);
            assertOpensAnother(backends);
        }
    }

    @Example
    void anUnstatedIdleTimeIsObservedFromTheServersClose() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection = backends.openIdleConnection("");
            backends.advance(1500);
            connection.endOutput();
            assertThat(connection.isEnded()).isTrue();
            backends.openIdleConnection("");
            backends.advance(1000);
            RecordingCallListener third = backends.send("third");
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("third", "z");
            third.answer();
            assertThat(backends.opened()).isEqualTo(3);
        }
    }

    @Example
    void aResetOfDroppedConnectionLowersTheIdleTimeForReuse() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection dropped = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            dropped.readHead();
            dropped.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            backends.openIdleConnection(TEN_SECONDS);
            backends.advance(1100);
            RecordingCallListener next = backends.send("next");
            RawServer.Connection fresh = backends.mServer.accept();
            fresh.readHead();
            fresh.send(Answers.complete("next", TEN_SECONDS, "y"));
            next.answer();
            backends.advance(900);
            RecordingCallListener soon = backends.send("soon");
            fresh.readHead();
            fresh.answer("soon", "z");
            soon.answer();
        }
    }

    @Example
    void aResetOfDroppedConnectionKeepsOnceOnlyRequestsOffIdleOnes() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection dropped = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            dropped.readHead();
            dropped.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            assertOnlyRepeatableReusesIdleConnection(backends);
        }
    }

    @Example
    void aConnectTimeoutKeepsOnceOnlyRequestsOffIdleConnections() throws Exception {
        ConnectionOptions shortTimeouts =
                new ConnectionOptions("X-Request-Id", "X-No", 200_000_000L, 1, 9);
        try (BackendFixture backends = new BackendFixture(shortTimeouts)) {
            try (AutoCloseable full = backends.mServer.fill()) {
                backends.send("a")
                        .assertFailed(CallFailure.Kind.NOT_CONNECTED, Verdict.DID_NOT_RUN);
            }
            assertOnlyRepeatableReusesIdleConnection(backends);
        }
    }

    @Example
    void onceOnlyRequestsReuseIdleConnectionsAfterTheRestrictionEnds() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection dropped = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            dropped.readHead();
            dropped.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            backends.advance(9000);
            RawServer.Connection reused = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener next = backends.send(BackendFixture.onceOnly("next"));
            reused.readHead();
            reused.answer("next", "y");
            next.answer();
        }
    }

    private static void assertOnlyRepeatableReusesIdleConnection(BackendFixture backends)
            throws Exception {
        RawServer.Connection idle = backends.openIdleConnection(TEN_SECONDS);
        backends.advance(100);
        RecordingCallListener once = backends.send(BackendFixture.onceOnly("once"));
        RawServer.Connection fresh = backends.mServer.accept();
        fresh.readHead();
        RecordingCallListener repeatable = backends.send("repeatable");
        idle.readHead();
        idle.answer("repeatable", "y");
        repeatable.answer();
        fresh.answer("once", "z");
        once.answer();
    }

    @Example
    void aResetLongAfterTheRequestDoesNotRestrictReuse() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection broken = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            broken.readHead();
            backends.advance(300);
            broken.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            RawServer.Connection reused = backends.openIdleConnection(TEN_SECONDS);
            backends.advance(3000);
            RecordingCallListener next = backends.send("next");
            reused.readHead();
            reused.answer("next", "y");
            next.answer();
        }
    }

    @Example
    void bytesAfterAnAnswerCloseTheConnectionButKeepTheAnswer() throws Exception {
        for (String extra : new String[] {"\r\n", "x", Answers.complete("first", "", "z")}) {
            try (BackendFixture backends = new BackendFixture()) {
                RecordingCallListener first = backends.send("first");
                RawServer.Connection connection = backends.mServer.accept();
                connection.readHead();
                connection.send(Answers.complete("first", "", "x") + extra);
                assertThat(first.answer().body()).isEqualTo("x");
                assertThat(connection.isEnded()).isTrue();
                assertOpensAnother(backends);
            }
        }
    }

    @Example
    void bytesOnAnIdleConnectionCloseIt() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection = backends.openIdleConnection("");
            connection.answer("first", "late");
            assertThat(connection.isEnded()).isTrue();
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aRepeatedRequestIdIsNotSentOnTheConnectionThatServedItLast() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.openIdleConnection("");
            RecordingCallListener again = backends.send("first");
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("first", "again");
            assertThat(again.answer().body()).isEqualTo("again");
            assertThat(backends.open()).isEqualTo(2);
        }
    }

    @Example
    void anAnswerToAnotherRequestClosesTheConnectionAfterTheCall() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener first = backends.send("first");
            RawServer.Connection connection = backends.mServer.accept();
            connection.readHead();
            connection.answer("other", "z").answer("first", "x");
            first.answer();
            assertThat(connection.isEnded()).isTrue();
        }
    }

    @Example
    void aRequestOfWhichNoByteWasWrittenMovesToAnotherConnection() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection stale = backends.openIdleConnection("");
            RecordingCallListener second =
                    backends.onLoop(
                            () -> {
                                stale.reset();
                                return backends.sendOnLoop(BackendFixture.get("second"), 1);
                            });
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("second", "y");
            assertThat(second.answer().body()).isEqualTo("y");
        }
    }

    @Example
    void aRequestWrittenToStaleConnectionIsNotSentAgain() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection stale = backends.openIdleConnection("");
            RecordingCallListener second =
                    backends.onLoop(
                            () -> {
                                stale.close();
                                return backends.sendOnLoop(BackendFixture.get("second"), 8);
                            });
            second.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            assertThat(backends.opened()).isEqualTo(1);
        }
    }

    @Example
    void anEarlyAnswerIsPassedOnAndTheRestOfTheBodyIsStillSent() throws Exception {
        int length = 48 << 20;
        try (BackendFixture backends = new BackendFixture()) {
            BackendRequest post =
                    BackendFixture.request(
                            "a",
                            HttpMethod.POST,
                            Unpooled.wrappedBuffer(new byte[length]),
                            BackendFixture.LONG_NANOS);
            RecordingCallListener recorder = backends.send(post);
            RawServer.Connection connection = backends.mServer.accept();
            assertThat(connection.readHead()).contains("content-length: " + length);
            connection.answer("a", "early");
            assertThat(recorder.answer().body()).isEqualTo("early");
            assertThat(List.of(backends.open(), backends.idle())).containsExactly(1L, 0L);
            assertThat(connection.readBody(length)).hasSize(length);
            assertThat(List.of(backends.open(), backends.idle())).containsExactly(1L, 1L);
        }
    }

    @Example
    void anEarlyAnswerIsReadThoughTheServerResetsTheRestOfTheBody() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RecordingCallListener recorder =
                    backends.send(
                            BackendFixture.request(
                                    "a",
                                    HttpMethod.POST,
                                    Unpooled.wrappedBuffer(new byte[48 << 20]),
                                    BackendFixture.LONG_NANOS));
            RawServer.Connection connection = backends.mServer.accept();
            connection.readHead();
            backends.onLoop(
                    () -> {
                        connection.answer("a", "early").close();
                        return null;
                    });
            assertThat(recorder.answer().body()).isEqualTo("early");
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aLowerMaximumClosesConnectionsBeyondItAfterTheirCalls() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection one = backends.openIdleConnection("");
            RecordingCallListener a = backends.send("a");
            one.readHead();
            RecordingCallListener b = backends.send("b");
            RawServer.Connection two = backends.mServer.accept();
            two.readHead();
            backends.onLoop(() -> backends.sendOnLoop(BackendFixture.get("c"), 1))
                    .assertFailed(CallFailure.Kind.NO_CONNECTION_FREE, Verdict.DID_NOT_RUN);
            one.answer("a", "x");
            a.answer();
            assertThat(one.isEnded()).isTrue();
            two.answer("b", "x");
            b.answer();
            assertThat(List.of(backends.open(), backends.idle())).containsExactly(1L, 1L);
            backends.onLoop(() -> backends.sendOnLoop(BackendFixture.get("b"), 1));
            assertThat(two.isEnded()).isTrue();
            assertThat(backends.mServer.accept().readHead()).contains("Id: b");
        }
    }

    @Example
    void removalOfServerClosesIdleConnectionsNowAndOthersAfterTheirCalls() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection idle = backends.openIdleConnection("");
            RecordingCallListener busy = backends.send("busy");
            idle.readHead();
            RecordingCallListener second = backends.send("second");
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("second", "y");
            second.answer();
            backends.onLoop(
                    () -> {
                        backends.mConnections.removeServer(backends.mTarget);
                        return null;
                    });
            assertThat(other.isEnded()).isTrue();
            idle.answer("busy", "z");
            assertThat(busy.answer().body()).isEqualTo("z");
            assertThat(idle.isEnded()).isTrue();
            assertThat(backends.open()).isZero();
        }
    }
}
