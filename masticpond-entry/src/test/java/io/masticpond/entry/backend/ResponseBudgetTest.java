package io.masticpond.entry.backend;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.body.BodyDirection;
import io.masticpond.core.request.Verdict;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;
import net.jqwik.api.lifecycle.BeforeTry;

/** Tests that responses without room in the budget are not read, and are read later in order. */
class ResponseBudgetTest {

    private static final int BODY = 300_000;

    private BackendFixture mFixture;
    private final BlockingQueue<BackendAnswer> mAnswers = new LinkedBlockingQueue<>();
    private final BlockingQueue<CallFailure> mFailures = new LinkedBlockingQueue<>();

    @BeforeTry
    void open() throws Exception {
        mFixture = new BackendFixture();
        mAnswers.clear();
        mFailures.clear();
        mFixture.onLoop(
                () -> {
                    mFixture.mBudget.applySettings(BodyBudgetSettings.ofTotal(700_000));
                    return null;
                });
    }

    @AfterTry
    void close() throws Exception {
        mFixture.close();
    }

    private BackendCall send(String id, long timeoutNanos) throws Exception {
        BackendRequest request =
                BackendFixture.request(id, HttpMethod.GET, Unpooled.EMPTY_BUFFER, timeoutNanos);
        BackendCallListener listener =
                new BackendCallListener() {
                    @Override
                    public void answered(BackendAnswer answer) {
                        mAnswers.add(answer);
                    }

                    @Override
                    public void failed(CallFailure failure) {
                        mFailures.add(failure);
                    }
                };
        return mFixture.onLoop(
                () -> mFixture.mConnections.send(mFixture.mTarget, 64, request, listener));
    }

    /** Sends a request and the head of its answer with one byte of the body. */
    private RawServer.Connection begin(String id) throws Exception {
        send(id, BackendFixture.LONG_NANOS);
        return answerHead(id);
    }

    private RawServer.Connection answerHead(String id) throws Exception {
        RawServer.Connection connection = mFixture.mServer.accept();
        connection.readHead();
        return connection.send(Answers.head(id, "Content-Length: " + BODY + "\r\n") + "x");
    }

    private long held() throws Exception {
        return mFixture.onLoop(() -> mFixture.mBudget.held(BodyDirection.RESPONSES));
    }

    private void awaitWaiting(int responses) throws Exception {
        while (mFixture.onLoop(() -> mFixture.mBudget.responses().waiting()) != responses) {
            Thread.onSpinWait();
        }
    }

    private BackendAnswer nextAnswer() throws Exception {
        BackendAnswer answer = mAnswers.poll(60, TimeUnit.SECONDS);
        assertThat(answer.body().readableBytes()).isEqualTo(BODY);
        return answer;
    }

    private void release(BackendAnswer answer) throws Exception {
        mFixture.onLoop(() -> answer.body().release());
    }

    @Example
    void waitingResponsesAreReadInTheOrderOfTheirHeads() throws Exception {
        String rest = "r".repeat(BODY - 1);
        RawServer.Connection first = begin("first");
        RawServer.Connection second = begin("second");
        awaitWaiting(1);
        RawServer.Connection third = begin("third");
        awaitWaiting(2);
        third.send(rest);
        second.send(rest);
        first.send(rest);
        BackendAnswer answer = nextAnswer();
        assertThat(answer.headers().get("X-Request-Id")).isEqualTo("first");
        assertThat(mAnswers).isEmpty();
        assertThat(held()).isBetween((long) BODY, (long) BODY + 2 * 65_536);
        release(answer);
        BackendAnswer next = nextAnswer();
        assertThat(next.headers().get("X-Request-Id")).isEqualTo("second");
        release(next);
        release(nextAnswer());
        assertThat(held()).isZero();
        assertThat(mFailures).isEmpty();
    }

    /** Guards against a deadline that does not end a waiting response or blames its server. */
    @Example
    void deadlineEndsWaitingResponse() throws Exception {
        begin("first");
        while (held() < BODY) {
            Thread.onSpinWait();
        }
        BackendCall call = send("second", TimeUnit.MILLISECONDS.toNanos(400));
        answerHead("second");
        awaitWaiting(1);
        assertThat(mFixture.onLoop(call::isReadingPaused)).isTrue();
        CallFailure failure = mFailures.poll(60, TimeUnit.SECONDS);
        assertThat(failure.verdict()).isEqualTo(Verdict.MAY_HAVE_RUN);
        assertThat(failure.kind()).isEqualTo(CallFailure.Kind.UNREAD);
        assertThat(failure.kind().isServerFailure()).isFalse();
        awaitWaiting(0);
        assertThat(held()).isEqualTo(BODY);
    }

    /** Guards against bytes that stay held after a response has ended in some way. */
    @Property(seed = "42", tries = 12)
    void budgetIsFreeAfterAllResponsesEndedInAnyWay(@ForAll long seed) throws Exception {
        Random random = new Random(seed);
        List<BackendCall> calls = new ArrayList<>();
        List<RawServer.Connection> servers = new ArrayList<>();
        for (int each = 0; each < 8; each++) {
            String id = "r" + each;
            calls.add(send(id, TimeUnit.MILLISECONDS.toNanos(200 + random.nextInt(400))));
            RawServer.Connection server = mFixture.mServer.accept();
            servers.add(server);
            server.readHead();
            int body = random.nextInt(BODY);
            String length = random.nextBoolean() ? "Content-Length: " + body + "\r\n" : "";
            server.send(Answers.head(id, length) + "b".repeat(Math.min(body, 4_000)));
            switch (random.nextInt(4)) {
                case 0 -> server.reset();
                case 1 -> server.endOutput();
                case 2 -> mFixture.onLoop(() -> cancel(calls.get(calls.size() - 1)));
                default -> {}
            }
        }
        int ended = 0;
        while (ended < calls.size() && !isFree()) {
            BackendAnswer answer = mAnswers.poll(50, TimeUnit.MILLISECONDS);
            if (answer != null) {
                ended++;
                release(answer);
            }
        }
        while (!isFree()) {
            Thread.onSpinWait();
        }
        for (RawServer.Connection each : servers) {
            each.close();
        }
    }

    private static Object cancel(BackendCall call) {
        call.cancel();
        return call;
    }

    /** Returns whether no call is in progress and nothing is held. */
    private boolean isFree() throws Exception {
        return held() == 0
                && mAnswers.isEmpty()
                && mFixture.onLoop(() -> mFixture.mConnections.counts().open()) == 0;
    }

    // Guards against a body of small chunks that takes many times its size in memory.
    @Example
    void smallChunksAreNotHeldOneByOne() throws Exception {
        int bytes = 100_000;
        RecordingCallListener recorder = mFixture.send("a");
        RawServer.Connection connection = mFixture.mServer.accept();
        connection.readHead();
        connection.send(Answers.head("a", "Transfer-Encoding: chunked\r\n"));
        connection.send("1\r\nx\r\n".repeat(bytes) + "0\r\n\r\n");
        assertThat(recorder.answer().body()).isEqualTo("x".repeat(bytes));
        assertThat(recorder.bodyComponents()).isLessThan(bytes / 1000);
    }
}
