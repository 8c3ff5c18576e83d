package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.util.List;
import net.jqwik.api.Example;

/** Connections are used again only when that is safe, and no request is sent twice. */
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
    void aKeptConnectionServesTheNextRequest() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection = backends.keptConnection("Keep-Alive: timeout=5\r\n");
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
    void aConnectionNearItsStatedOrUsualIdleTimeIsNotUsedAgain() throws Exception {
        for (String headers :
                new String[] {
                    "Keep-Alive: max=9, timeout=5\r\n", "", "Keep-Alive: timeout=1\r\n"
                }) {
            try (BackendFixture backends = new BackendFixture()) {
                RawServer.Connection connection = backends.keptConnection(headers);
                backends.advance(4000);
                assertOpensAnother(backends);
                assertThat(connection.isEnded()).isTrue();
            }
        }
    }

    @Example
    void aConnectionThatTheServerWillCloseIsNotUsedAgain() throws Exception {
        for (String headers : new String[] {"Connection: close\r\n", "Keep-Alive: timeout=0\r\n"}) {
            try (BackendFixture backends = new BackendFixture()) {
                backends.keptConnection(headers);
                assertThat(backends.open()).isZero();
                assertOpensAnother(backends);
            }
        }
    }

    /**
     * Seen: machines are suspended for seconds, and their steady clock stands still meanwhile,
     * while servers count on and close idle connections. A request on one of those may have run, as
     * far as anybody knows.
     */
    @Example
    void aConnectionThatRestedWhileTheMachineWasSuspendedIsNotUsedAgain() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.keptConnection("Keep-Alive: timeout=5\r\n");
            backends.suspend(4100);
            assertOpensAnother(backends);
        }
    }

    @Example
    void aClockThatIsSetBackKeepsNoConnectionLonger() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.keptConnection("Keep-Alive: timeout=5\r\n");
            backends.suspend(-60_000);
            backends.advance(4000);
            assertOpensAnother(backends);
        }
    }

    @Example
    void anIdleTimeThatTheServerDoesNotStateIsLearntFromItsClose() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection = backends.keptConnection("");
            backends.advance(1500);
            connection.endOutput();
            assertThat(connection.isEnded()).isTrue();
            backends.keptConnection("");
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
    void aResetOfForgottenConnectionsHasLaterRequestsUseOnesThatWereIdleForLess() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection forgotten = backends.keptConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            forgotten.readHead();
            forgotten.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            backends.keptConnection(TEN_SECONDS);
            backends.advance(1100);
            RecordingCallListener next = backends.send("next");
            RawServer.Connection fresh = backends.mServer.accept();
            fresh.readHead();
            fresh.send(Answers.whole("next", TEN_SECONDS, "y"));
            next.answer();
            backends.advance(900);
            RecordingCallListener soon = backends.send("soon");
            fresh.readHead();
            fresh.answer("soon", "z");
            soon.answer();
        }
    }

    @Example
    void resetOfForgottenConnectionKeepsOnceOnlyRequestsOffRestedOnes() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection forgotten = backends.keptConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            forgotten.readHead();
            forgotten.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            assertOnlyRepeatableUsesRestedOne(backends);
        }
    }

    @Example
    void aConnectionThatDoesNotOpenInTimeKeepsOnceOnlyRequestsOffRestedOnes() throws Exception {
        ConnectionOptions hasty = new ConnectionOptions("X-Request-Id", "X-No", 200_000_000L, 1, 9);
        try (BackendFixture backends = new BackendFixture(hasty)) {
            try (AutoCloseable full = backends.mServer.fill()) {
                backends.send("a")
                        .assertFailed(CallFailure.Kind.NOT_CONNECTED, Verdict.DID_NOT_RUN);
            }
            assertOnlyRepeatableUsesRestedOne(backends);
        }
    }

    @Example
    void onceOnlyRequestsUseRestedConnectionsAgainLater() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection forgotten = backends.keptConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            forgotten.readHead();
            forgotten.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            backends.advance(9000);
            RawServer.Connection kept = backends.keptConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener next = backends.send(BackendFixture.onceOnly("next"));
            kept.readHead();
            kept.answer("next", "y");
            next.answer();
        }
    }

    private static void assertOnlyRepeatableUsesRestedOne(BackendFixture backends)
            throws Exception {
        RawServer.Connection rested = backends.keptConnection(TEN_SECONDS);
        backends.advance(100);
        RecordingCallListener once = backends.send(BackendFixture.onceOnly("once"));
        RawServer.Connection fresh = backends.mServer.accept();
        fresh.readHead();
        RecordingCallListener repeatable = backends.send("repeatable");
        rested.readHead();
        rested.answer("repeatable", "y");
        repeatable.answer();
        fresh.answer("once", "z");
        once.answer();
    }

    @Example
    void aBreakLongAfterTheRequestLeavesIdleConnectionsInUse() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection broken = backends.keptConnection(TEN_SECONDS);
            backends.advance(2000);
            RecordingCallListener lost = backends.send("lost");
            broken.readHead();
            backends.advance(300);
            broken.reset();
            lost.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            RawServer.Connection kept = backends.keptConnection(TEN_SECONDS);
            backends.advance(3000);
            RecordingCallListener next = backends.send("next");
            kept.readHead();
            kept.answer("next", "y");
            next.answer();
        }
    }

    @Example
    void bytesAfterAnAnswerEndTheConnectionButNotTheAnswer() throws Exception {
        for (String extra : new String[] {"\r\n", "x", Answers.whole("first", "", "z")}) {
            try (BackendFixture backends = new BackendFixture()) {
                RecordingCallListener first = backends.send("first");
                RawServer.Connection connection = backends.mServer.accept();
                connection.readHead();
                connection.send(Answers.whole("first", "", "x") + extra);
                assertThat(first.answer().body()).isEqualTo("x");
                assertThat(connection.isEnded()).isTrue();
                assertOpensAnother(backends);
            }
        }
    }

    @Example
    void bytesOnAnIdleConnectionEndIt() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection connection = backends.keptConnection("");
            connection.answer("first", "late");
            assertThat(connection.isEnded()).isTrue();
            assertThat(backends.open()).isZero();
        }
    }

    @Example
    void aLateAnswerWithTheIdOfThePreviousSendCannotMeetTheNextSendOfThatId() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            backends.keptConnection("");
            RecordingCallListener again = backends.send("first");
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("first", "again");
            assertThat(again.answer().body()).isEqualTo("again");
            assertThat(backends.open()).isEqualTo(2);
        }
    }

    @Example
    void anAnswerToAnotherRequestEndsTheConnectionAfterTheCall() throws Exception {
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
    void aRequestOfWhichNoByteLeftMovesToAnotherConnection() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection stale = backends.keptConnection("");
            RecordingCallListener second =
                    backends.onLoop(
                            () -> {
                                stale.reset();
                                return backends.sendHere(BackendFixture.get("second"), 1);
                            });
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("second", "y");
            assertThat(second.answer().body()).isEqualTo("y");
        }
    }

    @Example
    void aRequestThatLeftOnOneThatWasStaleIsNotSentAgain() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection stale = backends.keptConnection("");
            RecordingCallListener second =
                    backends.onLoop(
                            () -> {
                                stale.close();
                                return backends.sendHere(BackendFixture.get("second"), 8);
                            });
            second.assertFailed(CallFailure.Kind.BROKEN_OFF, Verdict.MAY_HAVE_RUN);
            assertThat(backends.opened()).isEqualTo(1);
        }
    }

    @Example
    void anEarlyAnswerComesThroughAndTheRestOfTheBodyIsStillSent() throws Exception {
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
            RawServer.Connection one = backends.keptConnection("");
            RecordingCallListener a = backends.send("a");
            one.readHead();
            RecordingCallListener b = backends.send("b");
            RawServer.Connection two = backends.mServer.accept();
            two.readHead();
            backends.onLoop(() -> backends.sendHere(BackendFixture.get("c"), 1))
                    .assertFailed(CallFailure.Kind.NO_CONNECTION_FREE, Verdict.DID_NOT_RUN);
            one.answer("a", "x");
            a.answer();
            assertThat(one.isEnded()).isTrue();
            two.answer("b", "x");
            b.answer();
            assertThat(List.of(backends.open(), backends.idle())).containsExactly(1L, 1L);
            backends.onLoop(() -> backends.sendHere(BackendFixture.get("b"), 1));
            assertThat(two.isEnded()).isTrue();
            assertThat(backends.mServer.accept().readHead()).contains("Id: b");
        }
    }

    @Example
    void aForgottenServerLosesIdleConnectionsNowAndOthersAfterTheirCalls() throws Exception {
        try (BackendFixture backends = new BackendFixture()) {
            RawServer.Connection idle = backends.keptConnection("");
            RecordingCallListener busy = backends.send("busy");
            idle.readHead();
            RecordingCallListener second = backends.send("second");
            RawServer.Connection other = backends.mServer.accept();
            other.readHead();
            other.answer("second", "y");
            second.answer();
            backends.onLoop(
                    () -> {
                        backends.mConnections.forget(backends.mTarget);
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
