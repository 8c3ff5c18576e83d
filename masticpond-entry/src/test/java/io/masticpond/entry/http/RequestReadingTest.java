package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RequestReadingTest {

    private static final String NEXT_REQUEST = "GET /behind HTTP/1.1\r\nHost: h\r\n\r\n";
    private static final String POST = "POST /a HTTP/1.1\r\nHost: h\r\n";
    private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String STREAM =
            "\r\n"
                    + POST
                    + "X-Odd:  caf\u00e9 \r\ncontent-length: 5\r\n\r\nhello"
                    + CHUNKED
                    + "5;x=\"y\"\r\nhello\r\n00A\r\n, 10 bytes\r\n0\r\nSum: 1\r\n\r\n"
                    + "GET http://other:80/p?q HTTP/1.1\r\nHost: h\r\n\r\n"
                    + NEXT_REQUEST;

    private static final List<String> MALFORMED =
            List.of(
                    POST + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    POST + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
                    POST + "Content-Length: 3, 4\r\n\r\nabc",
                    POST + "Content-Length: +3\r\n\r\nabc",
                    POST + "Content-Length: -3\r\n\r\nabc",
                    POST + "Content-Length: 0x3\r\n\r\nabc",
                    POST + "Content-Length:\r\n\r\n",
                    POST + "Content-Length: 9999999999999999999999\r\n\r\n",
                    POST + "Content-Length : 3\r\n\r\nabc",
                    POST + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
                    POST + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
                    POST + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
                    POST + "Transfer-Encoding:\u000bchunked\r\n\r\n0\r\n\r\n",
                    "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                    POST + "X: a\r\n b\r\n\r\n",
                    "GET /a HTTP/1.1\r\n Host: h\r\n\r\n",
                    POST + "X: a\rY: b\r\n\r\n",
                    POST + "X: a\nY: b\r\n\r\n",
                    POST + "X: a\0b\r\n\r\n",
                    POST + "X\r\n\r\n",
                    POST + ": a\r\n\r\n",
                    "GET /a HTTP/1.1\nHost: h\n\n",
                    "GET /a HTTP/1.1\r\n\r\n",
                    "GET /a HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n",
                    "GET /a HTTP/1.1\r\nHost: h/x\r\n\r\n",
                    "GET /a  HTTP/1.1\r\nHost: h\r\n\r\n",
                    "GET /a b HTTP/1.1\r\nHost: h\r\n\r\n",
                    "GET a HTTP/1.1\r\nHost: h\r\n\r\n",
                    "GET /a http/1.1\r\nHost: h\r\n\r\n",
                    "GET /a\r\n\r\n",
                    "G(T /a HTTP/1.1\r\nHost: h\r\n\r\n",
                    CHUNKED + "z\r\n",
                    CHUNKED + "\r\n",
                    CHUNKED + "-1\r\n",
                    CHUNKED + "0x1\r\na\r\n0\r\n\r\n",
                    CHUNKED + "1 \r\na\r\n0\r\n\r\n",
                    CHUNKED + "1\na\r\n0\r\n\r\n",
                    CHUNKED + "1;\rx\r\na\r\n0\r\n\r\n",
                    CHUNKED + "1\r\nab\r\n0\r\n\r\n",
                    CHUNKED + "1\r\na\rb0\r\n\r\n",
                    CHUNKED + "10000000000000001\r\na\r\n0\r\n\r\n",
                    CHUNKED + "0\r\n folded\r\n\r\n");

    @Example
    void rejectsAmbiguousRequestsAndIgnoresLaterRequests() {
        for (String input : MALFORMED) {
            EntryFixture fixture = new EntryFixture();

            fixture.send(input + NEXT_REQUEST);

            assertThat(fixture.sent())
                    .as(input)
                    .isEqualTo(
                            "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n"
                                    + "Connection: close\r\n\r\n");
            assertThat(fixture.targets()).as(input).isEmpty();
            assertThat(fixture.mChannel.isOpen()).as(input).isFalse();
            assertThat(fixture.mConnections.budget().held()).as(input).isZero();
            assertThat(fixture.mConnections.openRequests()).as(input).isZero();
        }
    }

    @Property(seed = "42", tries = 300)
    void readsRequestsIndependentlyOfHowTheirBytesAreSplit(
            @ForAll @IntRange(max = 420) int first, @ForAll @IntRange(min = 1, max = 9) int step) {
        EntryFixture fixture = new EntryFixture();
        int at = Math.min(first, STREAM.length());

        fixture.send(STREAM.substring(0, at));
        for (; at < STREAM.length(); at += step) {
            fixture.send(STREAM.substring(at, Math.min(at + step, STREAM.length())));
        }

        assertThat(fixture.targets()).containsExactly("/a", "/a", "/p?q", "/behind");
        assertThat(fixture.mRequests.get(0).headers().get("X-Odd")).isEqualTo("caf\u00e9");
        assertThat(fixture.body(0)).isEqualTo("hello");
        assertThat(fixture.body(1)).isEqualTo("hello, 10 bytes");
        assertThat(fixture.mRequests.get(2).headers().get("Host")).isEqualTo("other:80");
    }

    @Example
    void reportsTheTimesOfTheFirstAndTheLastByte() {
        EntryFixture fixture = new EntryFixture();
        fixture.advance(Duration.ofNanos(5));
        fixture.send(POST);
        fixture.advance(Duration.ofNanos(7));

        fixture.send("\r\n" + NEXT_REQUEST);

        assertThat(fixture.mRequests.get(0).beginNanos()).isEqualTo(5);
        assertThat(fixture.mRequests.get(0).arrivalNanos()).isEqualTo(12);
        assertThat(fixture.mRequests.get(1).beginNanos()).isEqualTo(12);
    }

    @Example
    void rejectsHeadersAndBodiesThatAreTooLong() {
        String fits = POST + "X: " + "a".repeat(400 - POST.length() - 7) + "\r\n\r\n";
        String pieces = CHUNKED + "258\r\n" + "a".repeat(600) + "\r\n" + "191\r\n";
        assertThat(answerTo(fits)).isEmpty();
        assertThat(answerTo(fits.replace("X: ", "X: a"))).startsWith("HTTP/1.1 431 ");
        assertThat(answerTo("GET /" + "a".repeat(500))).startsWith("HTTP/1.1 431 ");
        assertThat(answerTo(POST + "Content-Length: 1000\r\n\r\n")).isEmpty();
        assertThat(answerTo(POST + "Content-Length: 1001\r\n\r\n")).startsWith("HTTP/1.1 413 ");
        assertThat(answerTo(pieces)).startsWith("HTTP/1.1 413 ");
        assertThat(answerTo("GET / HTTP/2.0\r\n\r\n")).startsWith("HTTP/1.1 505 ");
    }

    private static String answerTo(String input) {
        EntryFixture fixture = new EntryFixture();
        fixture.send(input);
        return fixture.sent();
    }

    @Example
    void rejectsRequestsOverTheSharedMemoryBudgetWithRetryAfter() {
        EntryFixture fixture = new EntryFixture();
        String head = POST + "Content-Length: 900\r\n\r\n";
        fixture.send(head + "a".repeat(900));
        EmbeddedChannel second = fixture.open(new EmbeddedChannel());
        EmbeddedChannel third = fixture.open(new EmbeddedChannel());
        EntryFixture.send(second, head + "b".repeat(800));

        EntryFixture.send(third, head + "c".repeat(900));

        assertThat(EntryFixture.sent(third))
                .startsWith("HTTP/1.1 503 ")
                .contains("retry-after: 0.5\r\n", "Connection: close\r\n");
        assertThat(fixture.mRequests).hasSize(1);
        fixture.answer(0, 200, "");
        second.close();
        assertThat(fixture.mConnections.budget().held()).isZero();
        fixture.send(head + "d".repeat(900));
        assertThat(fixture.mRequests).hasSize(2);
    }

    @Example
    void sends100ContinueAfterTheAnswersBeforeIt() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(NEXT_REQUEST + POST + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\n");
        assertThat(fixture.sent()).isEmpty();

        fixture.answer(0, 204, "");

        assertThat(fixture.sent())
                .isEqualTo("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
        fixture.send("ok");
        assertThat(fixture.body(1)).isEqualTo("ok");
        assertThat(fixture.mRequests.get(1).headers().contains("Expect")).isFalse();
    }
}
