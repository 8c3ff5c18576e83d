package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;

class AnswerOrderTest {

    private static String get(String target) {
        return "GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n";
    }

    private static String ok(String body) {
        return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Example
    void writesAnswersInTheOrderOfTheRequests() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(get("/0") + get("/1") + get("/2"));

        fixture.answer(2, 200, "two");
        fixture.answer(1, 200, "one");
        fixture.answer(1, 200, "again");
        assertThat(fixture.sent()).isEmpty();
        fixture.answer(0, 200, "zero");

        assertThat(fixture.sent()).isEqualTo(ok("zero") + ok("one") + ok("two"));
        assertThat(fixture.mConnections.openRequests()).isZero();
    }

    @Example
    void limitsConcurrentRequestsPerConnection() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(get("/0") + get("/1") + get("/2") + get("/3") + get("/4") + get("/5"));
        assertThat(fixture.targets()).containsExactly("/0", "/1", "/2", "/3");
        assertThat(fixture.mConnections.openRequests()).isEqualTo(4);

        fixture.answer(0, 200, "");

        assertThat(fixture.targets()).containsExactly("/0", "/1", "/2", "/3", "/4");
    }

    @Example
    void stopsReadingFromClientsThatKeepSendingWhileTheirRequestsWait() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(get("/0") + get("/1") + get("/2") + get("/3"));
        fixture.send("\r\n".repeat(40_000));
        assertThat(fixture.mChannel.config().isAutoRead()).isFalse();

        fixture.answer(0, 200, "");

        assertThat(fixture.mChannel.config().isAutoRead()).isTrue();
    }

    @Example
    void notifiesOfTheDisconnectWhileAnswersArePending() {
        EntryFixture fixture = new EntryFixture();
        List<String> disconnected = new ArrayList<>();
        fixture.send(get("/0") + get("/1"));
        fixture.mResponders.get(0).onClientDisconnected(() -> disconnected.add("0a"));
        fixture.mResponders.get(0).onClientDisconnected(() -> disconnected.add("0b"));
        fixture.mResponders.get(1).onClientDisconnected(() -> disconnected.add("1"));

        fixture.mChannel.close();

        assertThat(disconnected).containsExactly("0a", "0b", "1");
        assertThat(fixture.mResponders.get(0).isClientDisconnected()).isTrue();
        fixture.mResponders.get(1).onClientDisconnected(() -> disconnected.add("late"));
        assertThat(disconnected).endsWith("late");
        fixture.answer(0, 200, "too late");
        assertThat(fixture.mConnections.budget().held()).isZero();
        assertThat(fixture.mConnections.openRequests()).isZero();
        assertThat(fixture.mConnections.openConnections()).isZero();
    }

    @Example
    void abortsAfterEarlierAnswersAndDiscardsLaterRequests() {
        EntryFixture fixture = new EntryFixture();
        List<String> disconnected = new ArrayList<>();
        fixture.send(get("/0") + get("/1") + get("/2"));
        fixture.mResponders.get(2).onClientDisconnected(() -> disconnected.add("2"));
        fixture.answer(2, 200, "two");
        fixture.mResponders.get(1).abort();
        assertThat(fixture.mChannel.isOpen()).isTrue();

        fixture.answer(0, 200, "zero");

        assertThat(fixture.sent()).isEqualTo(ok("zero"));
        assertThat(fixture.mChannel.isOpen()).isFalse();
        assertThat(disconnected).containsExactly("2");
        assertThat(fixture.mConnections.openRequests()).isZero();
    }

    @Example
    void writesHeadersUnchangedExceptHopByHopHeaders() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(get("/"));

        fixture.answer(
                0,
                502,
                "body",
                "x-SeaL",
                "caf\u00e9",
                "Connection",
                "X-Hop",
                "X-Hop",
                "1",
                "Keep-Alive",
                "timeout=9",
                "Transfer-Encoding",
                "chunked",
                "content-length",
                "9",
                "Set-Cookie",
                "a",
                "Set-Cookie",
                "b");

        assertThat(fixture.sent())
                .isEqualTo(
                        "HTTP/1.1 502 Bad Gateway\r\nx-SeaL: caf\u00e9\r\nSet-Cookie: a\r\n"
                                + "Set-Cookie: b\r\nContent-Length: 4\r\n\r\nbody");
    }

    @Example
    void writesNoBodyWhereNoneIsAllowed() {
        EntryFixture fixture = new EntryFixture();
        fixture.send("HEAD / HTTP/1.1\r\nHost: h\r\n\r\n" + get("/1") + get("/2"));

        fixture.answer(0, 200, "", "Content-Length", "600");
        fixture.answer(1, 304, "no");
        fixture.answer(2, 204, "no", "Content-Length", "2");

        assertThat(fixture.sent())
                .isEqualTo(
                        "HTTP/1.1 200 OK\r\nContent-Length: 600\r\n\r\n"
                                + "HTTP/1.1 304 Not Modified\r\n\r\n"
                                + "HTTP/1.1 204 No Content\r\n\r\n");
    }

    @Example
    void closesAfterTheAnswerOnRequestAndIgnoresLaterRequests() {
        String closing = "GET /0 HTTP/1.1\r\nHost: h\r\nConnection: x, Close\r\n\r\n";
        String http10 = "GET /0 HTTP/1.0\r\n\r\n";
        for (String request : List.of(closing, http10)) {
            EntryFixture fixture = new EntryFixture();
            fixture.send(request + get("/1"));
            assertThat(fixture.targets()).containsExactly("/0");

            fixture.answer(0, 200, "");

            assertThat(fixture.sent()).contains("Connection: close\r\n");
            assertThat(fixture.mChannel.isOpen()).isFalse();
        }
    }

    @Example
    void keepsTheConnectionOfAnHttp10ClientThatRequestsIt() {
        EntryFixture fixture = new EntryFixture();
        fixture.send("GET /0 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");

        fixture.answer(0, 200, "");

        assertThat(fixture.sent()).contains("Connection: keep-alive\r\n");
        assertThat(fixture.mChannel.isOpen()).isTrue();
    }
}
