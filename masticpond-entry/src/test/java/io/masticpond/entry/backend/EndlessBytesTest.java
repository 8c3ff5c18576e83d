package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.io.IOException;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests of servers that send bytes without end until the connection is closed. */
class EndlessBytesTest {

    /** Bytes after which a server stops, so that a test ends. */
    private static final long MOST_SENT_BYTES = 48L << 20;

    private static final int BLOCK_BYTES = 16 * 1024;

    /** Longer than the buffers of a connection, so that the request is never written whole. */
    private static final int UPLOAD_BYTES = 24 << 20;

    private static final String CHUNKED = "Transfer-Encoding: chunked\r\n";

    private BackendFixture mBackends;

    @BeforeTry
    void open() throws Exception {
        mBackends = new BackendFixture();
    }

    @AfterTry
    void close() throws Exception {
        mBackends.close();
    }

    /** Places of a message at which a server never ends. */
    enum Place {
        BEFORE_THE_STATUS_LINE("", "\r\n"),
        CONTROL_CHARACTERS("", "\u0001\u0002 "),
        STATUS_LINE("HTTP/1.1 200 ", "x"),
        INTERIM_ANSWERS("", "HTTP/1.1 100 Continue\r\n\r\n"),
        INTERIM_HEADERS("", "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n"),
        HEADER_NAME("HTTP/1.1 200 OK\r\n", "x"),
        HEADERS("HTTP/1.1 200 OK\r\n", "Header: 1\r\n"),
        CHUNK_SIZE(Answers.head("a", CHUNKED), "0"),
        CHUNK_EXTENSION(Answers.head("a", CHUNKED) + "1;", "x"),
        CHUNK_EXTENSIONS(Answers.head("a", CHUNKED), "1;" + "x".repeat(2000) + "\r\nx\r\n"),
        TRAILERS(Answers.head("a", CHUNKED) + "0\r\n", "Header: 1\r\n"),
        LATE_ANSWERS("", Answers.complete("late", "", ""));

        private final String mBegin;
        private final String mRepeated;

        Place(String begin, String repeated) {
            mBegin = begin;
            mRepeated = repeated;
        }
    }

    // Guards against bytes that are parsed or skipped at full speed until the deadline.
    @Property(seed = "59")
    void bytesThatBelongToNoBodyAreBounded(@ForAll Place place) throws Exception {
        RecordingCallListener recorder = mBackends.send("a");
        RawServer.Connection connection = mBackends.mServer.accept();
        connection.readHead();
        connection.send(place.mBegin);
        sendWithoutEnd(connection, place.mRepeated);
        recorder.assertFailed(CallFailure.Kind.BAD_ANSWER, Verdict.MAY_HAVE_RUN);
        assertThat(received()).isLessThanOrEqualTo(framingLimit());
        assertThat(mBackends.open()).isZero();
    }

    // Guards against bytes behind a whole answer that are dropped unread while the upload lasts.
    @Example
    void bytesBehindAnAnswerWhoseRequestIsStillWrittenAreBounded() throws Exception {
        BackendRequest upload =
                BackendFixture.request(
                        "a",
                        HttpMethod.POST,
                        Unpooled.wrappedBuffer(new byte[UPLOAD_BYTES]),
                        BackendFixture.LONG_NANOS);
        RecordingCallListener recorder = mBackends.send(upload);
        RawServer.Connection connection = mBackends.mServer.accept();
        connection.readHead();
        connection.answer("a", "whole");
        assertThat(recorder.answer().body()).isEqualTo("whole");
        sendWithoutEnd(connection, "x");
        assertThat(received()).isLessThanOrEqualTo(framingLimit());
        assertThat(mBackends.open()).isZero();
    }

    // Guards against a body without end that is held beyond the limit of an answer.
    @Example
    void aBodyOfSmallChunksWithoutEndIsBoundedByItsBytesOnTheWire() throws Exception {
        long limit = 1 << 20;
        long nanos = BackendFixture.LONG_NANOS;
        mBackends.close();
        mBackends =
                new BackendFixture(
                        new ConnectionOptions("X-Request-Id", "X-No", nanos, nanos, limit));
        RecordingCallListener recorder = mBackends.send("a");
        RawServer.Connection connection = mBackends.mServer.accept();
        connection.readHead();
        connection.send(Answers.head("a", CHUNKED));
        sendWithoutEnd(connection, "1\r\nx\r\n");
        recorder.assertFailed(CallFailure.Kind.BAD_ANSWER, Verdict.MAY_HAVE_RUN);
        assertThat(received()).isLessThanOrEqualTo(limit + framingLimit());
    }

    // Guards against bodies without end that leave other answers no room in the body budget.
    @Example
    void bodiesWithoutEndLeaveRoomToOtherAnswers() throws Exception {
        BodyBudgetSettings settings = BodyBudgetSettings.ofTotal(16L << 20);
        mBackends.onLoop(
                () -> {
                    mBackends.mBudget.applySettings(settings);
                    return null;
                });
        for (int index = 0; index < 4; index++) {
            mBackends.send("a" + index);
            RawServer.Connection connection = mBackends.mServer.accept();
            connection.readHead();
            connection.send(Answers.head("a" + index, ""));
            Thread server = new Thread(() -> sendWithoutEnd(connection, "x"));
            server.setDaemon(true);
            server.start();
        }
        while (held() < settings.directionBytes()) {
            Thread.sleep(10);
        }
        int bodyBytes = 1 << 20;
        for (int index = 0; index < 3; index++) {
            RecordingCallListener other = mBackends.send("b" + index);
            other.keepBody();
            RawServer.Connection connection = mBackends.mServer.accept();
            connection.readHead();
            connection.send(
                    Answers.complete("b" + index, "Connection: close\r\n", "x".repeat(bodyBytes)));
            assertThat(other.answer().body()).hasSize(bodyBytes);
        }
    }

    private long held() throws Exception {
        return mBackends.onLoop(() -> mBackends.mBudget.held(BodyDirection.RESPONSES));
    }

    private long received() throws Exception {
        return mBackends.onLoop(() -> mBackends.mConnections.counts().receivedBytes());
    }

    /** Limit of the bytes outside bodies, and one read that exceeds it. */
    private static long framingLimit() {
        return ReceivedBytes.MAXIMUM_FRAMING_BYTES + AnswerDecoder.MAXIMUM_CHUNK_BYTES;
    }

    /** Sends until the other side closes the connection or the most bytes have been sent. */
    private static void sendWithoutEnd(RawServer.Connection connection, String repeated) {
        String block = repeated.repeat(Math.max(1, BLOCK_BYTES / repeated.length()));
        try {
            for (long sent = 0; sent < MOST_SENT_BYTES; sent += block.length()) {
                connection.send(block);
            }
        } catch (IOException closed) {
            return;
        }
    }
}
