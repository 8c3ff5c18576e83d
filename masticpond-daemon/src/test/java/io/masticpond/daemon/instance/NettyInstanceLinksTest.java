package io.masticpond.daemon.instance;

import static io.masticpond.daemon.instance.LinkFixture.FIRST;
import static io.masticpond.daemon.instance.LinkFixture.LONG;
import static io.masticpond.daemon.instance.LinkFixture.SECOND;
import static io.masticpond.daemon.instance.LinkFixture.await;
import static io.masticpond.daemon.instance.LinkFixture.errorOf;
import static io.masticpond.daemon.instance.LinkFixture.forward;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.Envelope;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests of the links between two instances over loopback. */
class NettyInstanceLinksTest {

    private final LinkFixture mFixture = new LinkFixture();
    private NettyInstanceLinks mFirst;
    private NettyInstanceLinks mSecond;

    @AfterTry
    void close() {
        mFixture.close();
    }

    private void connect(LinkSettings first, LinkSettings second) {
        mFirst = mFixture.make(FIRST, 1, first);
        mSecond = mFixture.make(SECOND, 1, second);
        mFirst.start();
        mFirst.setAddress(SECOND, LinkFixture.text(mSecond.start()));
    }

    @Example
    void answersAreMatchedToTheirCalls() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        Queue<Runnable> pending = new ConcurrentLinkedQueue<>();
        mSecond.setHandler(
                Envelope.BodyCase.FORWARD,
                (from, message, responder) -> {
                    String request = message.getForward().getRequest();
                    pending.add(() -> responder.answer(LinkFixture.answer(request)));
                });
        List<CompletableFuture<Either<LinkError, Envelope>>> calls = new ArrayList<>();
        for (int i = 0; i < 500; i++) {
            calls.add(mFirst.call(SECOND, forward("r" + i), LONG));
        }
        LinkFixture.awaitTrue("all requests received", () -> pending.size() == 500);
        List<Runnable> reversed = new ArrayList<>(pending);
        Collections.reverse(reversed);
        reversed.forEach(Runnable::run);
        reversed.forEach(Runnable::run);
        for (int i = 0; i < 500; i++) {
            assertThat(await(calls.get(i)).get().getForwardAnswer().getRequest())
                    .isEqualTo("r" + i);
        }
    }

    /** Guards against a stop that closes the links before an answer has been written. */
    @Example
    void requestEndsOnceItsAnswerIsWrittenOrDropped() throws InterruptedException {
        connect(LinkFixture.settings(), LinkFixture.settings());
        Queue<Responder> arrived = new ConcurrentLinkedQueue<>();
        CountDownLatch ended = new CountDownLatch(2);
        mSecond.setHandler(
                Envelope.BodyCase.FORWARD,
                (from, message, responder) -> {
                    responder.onEnd(ended::countDown);
                    arrived.add(responder);
                });
        CompletableFuture<Either<LinkError, Envelope>> answered =
                mFirst.call(SECOND, forward("a"), LONG);
        LinkFixture.awaitTrue("request received", () -> arrived.size() == 1);
        assertThat(ended.getCount()).isEqualTo(2);
        arrived.remove().answer(LinkFixture.answer("a"));
        assertThat(await(answered).isRight()).isTrue();
        LinkFixture.awaitTrue("answer written", () -> ended.getCount() == 1);
        CompletableFuture<Either<LinkError, Envelope>> lost =
                mFirst.call(SECOND, forward("b"), LONG);
        LinkFixture.awaitTrue("request received", () -> arrived.size() == 1);
        mFirst.close();
        assertThat(errorOf(lost)).isInstanceOf(LinkError.Lost.class);
        arrived.remove().answer(LinkFixture.answer("b"));
        assertThat(ended.await(LONG.toSeconds(), TimeUnit.SECONDS)).isTrue();
    }

    /** Guards against entries of removed instances that accumulate over the life of a process. */
    @Example
    void removedInstanceLeavesNoEntry() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        LinkFixture.echo(mSecond);
        assertThat(await(mFirst.call(SECOND, forward("a"), LONG)).isRight()).isTrue();
        assertThat(mFirst.knows(SECOND)).isTrue();
        mFirst.removeInstance(SECOND);
        LinkFixture.awaitTrue("closed", () -> mFirst.statistics().connections() == 0);
        mFirst.close();
        assertThat(mFirst.knows(SECOND)).isFalse();
    }

    @Example
    void bothSidesCallOverOneConnection() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        LinkFixture.echo(mFirst);
        LinkFixture.echo(mSecond);
        assertThat(await(mFirst.call(SECOND, forward("a"), LONG)).isRight()).isTrue();
        assertThat(await(mSecond.call(FIRST, forward("b"), LONG)).isRight()).isTrue();
        assertThat(mFirst.statistics().connections()).isEqualTo(1);
        assertThat(mSecond.connected()).isEqualTo(Set.of(FIRST));
    }

    @Example
    void lateAnswerIsDroppedAndCounted() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        Queue<Responder> arrived = new ConcurrentLinkedQueue<>();
        mSecond.setHandler(Envelope.BodyCase.FORWARD, (from, message, to) -> arrived.add(to));
        CompletableFuture<Either<LinkError, Envelope>> openingCall =
                mFirst.call(SECOND, forward("open"), LONG);
        LinkFixture.awaitTrue("the link is open", () -> arrived.size() == 1);
        arrived.remove().answer(LinkFixture.answer("open"));
        assertThat(await(openingCall).isRight()).isTrue();
        LinkError error = errorOf(mFirst.call(SECOND, forward("a"), Duration.ofMillis(200)));
        assertThat(error).isInstanceOf(LinkError.Timeout.class);
        LinkFixture.awaitTrue("request received", () -> arrived.size() == 1);
        arrived.remove().answer(LinkFixture.answer("a"));
        LinkFixture.awaitTrue("counted", () -> mFirst.statistics().answersNotAwaited() == 1);
        assertThat(mFirst.statistics().connections()).isEqualTo(1);
    }

    @Example
    void requestWithoutHandlerIsRefused() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        LinkError error = errorOf(mFirst.call(SECOND, forward("a"), LONG));
        assertThat(error).isInstanceOf(LinkError.Refused.class);
        assertThat(error.mayHaveArrived()).isFalse();
    }

    @Example
    void requestIsNotSentToUnknownAddress() {
        mFirst = mFixture.make(FIRST, 1, LinkFixture.settings());
        LinkError error = errorOf(mFirst.call(new InstanceId("nobody"), forward("a"), LONG));
        assertThat(error).isInstanceOf(LinkError.NotSent.class);
    }

    @Example
    void callIsLostWhenPeerTerminatesWithRequest() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        CompletableFuture<Responder> arrived = new CompletableFuture<>();
        mSecond.setHandler(Envelope.BodyCase.FORWARD, (from, message, to) -> arrived.complete(to));
        CompletableFuture<Either<LinkError, Envelope>> call =
                mFirst.call(SECOND, forward("a"), LONG);
        await(arrived);
        mSecond.close();
        assertThat(errorOf(call)).isInstanceOf(LinkError.Lost.class);
        LinkFixture.awaitTrue("disconnected", () -> mFirst.connected().isEmpty());
        LinkError next = errorOf(mFirst.call(SECOND, forward("b"), LONG));
        assertThat(next).isInstanceOf(LinkError.NotSent.class);
    }

    @Example
    void listenerIsNotifiedOfConnectionLossAndRefusal() {
        connect(LinkFixture.settings(), LinkFixture.settings());
        RecordingListener listener = new RecordingListener();
        mFirst.addListener(listener);
        LinkFixture.echo(mSecond);
        await(mFirst.call(SECOND, forward("a"), LONG));
        mSecond.close();
        LinkFixture.awaitTrue("told", () -> listener.mEvents.size() >= 2);
        mFirst.call(SECOND, forward("b"), LONG);
        LinkFixture.awaitTrue(
                "refusal notified", () -> listener.mEvents.contains("refused second"));
        assertThat(listener.mEvents.peek()).isEqualTo("connected second@1");
    }

    @Example
    void rotatedKeyIsAcceptedBeforeItIsInUse() {
        connect(
                LinkFixture.settings(LinkFixture.keys("k2", "k1", "k2")),
                LinkFixture.settings(LinkFixture.keys("k1", "k1", "k2")));
        LinkFixture.echo(mSecond);
        assertThat(await(mFirst.call(SECOND, forward("a"), LONG)).isRight()).isTrue();
    }

    @Example
    void keyOutsideRingIsRefused() {
        connect(
                LinkFixture.settings(LinkFixture.keys("k2", "k2")),
                LinkFixture.settings(LinkFixture.keys("k1", "k1")));
        LinkFixture.echo(mSecond);
        LinkError error = errorOf(mFirst.call(SECOND, forward("a"), LONG));
        assertThat(error).isInstanceOf(LinkError.NotSent.class);
        assertThat(error.message()).contains("The key 'k2' is not on the ring.");
        assertThat(mSecond.connected().isEmpty()).isTrue();
    }

    /** Listener that records its events as text. */
    private static final class RecordingListener implements LinkListener {

        private final Queue<String> mEvents = new ConcurrentLinkedQueue<>();

        @Override
        public void connected(Incarnation peer) {
            mEvents.add("connected " + peer);
        }

        @Override
        public void disconnected(Incarnation peer) {
            mEvents.add("disconnected " + peer);
        }

        @Override
        public void connectionRefused(InstanceId peer) {
            mEvents.add("refused " + peer);
        }
    }
}
