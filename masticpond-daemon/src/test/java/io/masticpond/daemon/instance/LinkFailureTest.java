package io.masticpond.daemon.instance;

import static io.masticpond.daemon.instance.LinkFixture.FIRST;
import static io.masticpond.daemon.instance.LinkFixture.LONG;
import static io.masticpond.daemon.instance.LinkFixture.SECOND;
import static io.masticpond.daemon.instance.LinkFixture.errorOf;
import static io.masticpond.daemon.instance.LinkFixture.forward;
import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.ByteString;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.Heartbeat;
import io.masticpond.protocol.generated.Hello;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterTry;

/**
 * Tests of links whose peer closes the connection, stops reading or answering, claims a false
 * identity or violates the protocol.
 */
class LinkFailureTest {

    private static final Duration BUSY_TIMEOUT = Duration.ofMillis(600);

    private final LinkFixture mFixture = new LinkFixture();
    private final List<RawPeer> mRawPeers = new ArrayList<>();
    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final NettyInstanceLinks mLinks = mFixture.make(FIRST, 5, settings(LONG), mTime);
    private final InetSocketAddress mAddress = mLinks.start();

    @AfterTry
    void close() {
        mFixture.close();
        mRawPeers.forEach(RawPeer::close);
    }

    private static LinkSettings settings(Duration connectTimeout) {
        LinkSettings defaults = LinkFixture.settings();
        return new LinkSettings(
                defaults.listenAddress(),
                defaults.keys(),
                1,
                1,
                1 << 20,
                8 << 20,
                16,
                connectTimeout,
                Duration.ofMillis(20),
                Duration.ofMillis(100),
                BUSY_TIMEOUT,
                Duration.ofSeconds(20));
    }

    private static LinkSettings settingsForVersions(int lowest, int highest) {
        LinkSettings defaults = LinkFixture.settings();
        return new LinkSettings(
                defaults.listenAddress(),
                defaults.keys(),
                lowest,
                highest,
                1 << 20,
                8 << 20,
                16,
                defaults.connectTimeout(),
                defaults.minimumBackoff(),
                defaults.maximumBackoff(),
                defaults.busyInactivityTimeout(),
                defaults.idleInactivityTimeout());
    }

    private RawPeer newPeer(LinkSettings settings) {
        RawPeer peer = new RawPeer(SECOND, 1, settings);
        mRawPeers.add(peer);
        return peer;
    }

    private RawPeer newPeer() {
        RawPeer peer = newPeer(LinkFixture.settings());
        mLinks.setAddress(SECOND, peer.address());
        return peer;
    }

    private CompletableFuture<Either<LinkError, Envelope>> call(String request) {
        return mLinks.call(SECOND, forward(request), LONG);
    }

    private static Envelope large(int bytes) {
        return Envelope.newBuilder()
                .setForward(Forward.newBuilder().setBody(ByteString.copyFrom(new byte[bytes])))
                .build();
    }

    @Example
    void callIsLostWhenConnectionIsClosedAfterRequestArrived() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call = call("a");
        assertThat(peer.accept().read().getForward().getRequest()).isEqualTo("a");
        peer.closeSocket();
        assertThat(errorOf(call)).isInstanceOf(LinkError.Lost.class);
    }

    @Example
    void callIsLostWhenConnectionIsClosedWithinAnswer() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call = call("a");
        long id = peer.accept().read().getCallId();
        peer.sendPart(LinkFixture.answer("a").toBuilder().setCallId(id).build());
        peer.closeSocket();
        assertThat(errorOf(call)).isInstanceOf(LinkError.Lost.class);
    }

    @Example
    void unstartedCallsAreNotSentWhenPeerStopsReading() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> first = call("first");
        peer.accept().read();
        List<CompletableFuture<Either<LinkError, Envelope>>> calls = new ArrayList<>();
        CompletableFuture<Either<LinkError, Envelope>> next;
        do {
            next = mLinks.call(SECOND, large(1_000_000), LONG);
            calls.add(next);
        } while (!next.isDone());
        assertThat(errorOf(next)).isInstanceOf(LinkError.QueueFull.class);
        assertThat(first.isDone()).isFalse();
        mTime.advance(BUSY_TIMEOUT.plusMillis(1));
        assertThat(errorOf(first)).isInstanceOf(LinkError.Lost.class);
        peer.close();
        assertThat(errorOf(calls.get(calls.size() - 2))).isInstanceOf(LinkError.NotSent.class);
    }

    @Example
    void requestIsNotSentWhenHandshakeNeverEnds() throws IOException {
        RawPeer peer = newPeer();
        NettyInstanceLinks shortTimeoutLinks =
                mFixture.make(FIRST, 6, settings(Duration.ofMillis(300)), mTime);
        shortTimeoutLinks.setAddress(SECOND, peer.address());
        CompletableFuture<Either<LinkError, Envelope>> call =
                shortTimeoutLinks.call(SECOND, forward("a"), LONG);
        peer.acceptSocket();
        assertThat(errorOf(call)).isInstanceOf(LinkError.NotSent.class);
    }

    @Example
    void halfOpenConnectionWithOutstandingCallIsClosedAfterBusyTimeout() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call = call("a");
        peer.accept().read();
        mTime.advance(BUSY_TIMEOUT);
        assertThat(call.isDone()).isFalse();
        mTime.advance(Duration.ofMillis(1));
        assertThat(errorOf(call)).isInstanceOf(LinkError.Lost.class);
    }

    @Example
    void wrongKeyIsRefusedOnBothSides() throws IOException {
        LinkSettings wrong = LinkSettings.of("127.0.0.1:0", LinkFixture.keys("k9", "k9"));
        RawPeer peer = newPeer(wrong).dialSocket(mAddress);
        peer.send(peer.hello());
        assertThat(peer.read().getLinkError().getReason()).contains("not on the ring");
        assertThat(peer.isClosed()).isTrue();
        assertThat(mLinks.statistics().handshakesRefused()).isEqualTo(1);
    }

    @Example
    void wrongProofIsRefused() throws IOException {
        RawPeer peer = newPeer().dialSocket(mAddress);
        Hello hello = peer.hello();
        peer.send(hello);
        peer.read();
        peer.send(hello.toBuilder().setProof(ByteString.copyFrom(new byte[32])).build());
        assertThat(peer.read().getLinkError().getReason()).contains("proof");
        assertThat(mLinks.connected()).isEmpty();
    }

    @Example
    void disjointVersionsAreRefused() throws IOException {
        RawPeer peer = newPeer(settingsForVersions(2, 3)).dialSocket(mAddress);
        peer.send(peer.hello());
        assertThat(peer.read().getLinkError().getReason())
                .isEqualTo("Versions 1 to 1 are spoken here, 2 to 3 there.");
        assertThat(peer.isClosed()).isTrue();
    }

    @Example
    void overlappingVersionsAreAccepted() throws IOException {
        newPeer(settingsForVersions(1, 4)).dial(mAddress);
        LinkFixture.awaitTrue("connected", () -> mLinks.connected().contains(SECOND));
    }

    @Example
    void answerWithoutCallClosesConnection() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call = call("a");
        long id = peer.accept().read().getCallId();
        peer.send(LinkFixture.answer("x").toBuilder().setCallId(id + 2).build());
        assertThat(errorOf(call)).isInstanceOf(LinkError.Lost.class);
        assertThat(mLinks.statistics().protocolErrors()).isEqualTo(1);
    }

    @Example
    void duplicateAnswerIsDropped() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call = call("a");
        long id = peer.accept().read().getCallId();
        peer.send(LinkFixture.answer("a").toBuilder().setCallId(id).build());
        peer.send(LinkFixture.answer("b").toBuilder().setCallId(id).build());
        assertThat(LinkFixture.await(call).get().getForwardAnswer().getRequest()).isEqualTo("a");
        LinkFixture.awaitTrue("counted", () -> mLinks.statistics().answersNotAwaited() == 1);
        assertThat(mLinks.connected()).containsExactly(SECOND);
    }

    @Example
    void duplicateRequestRunsOnceAndClosesConnection() throws IOException {
        AtomicInteger handled = new AtomicInteger();
        mLinks.setHandler(
                Envelope.BodyCase.FORWARD, (from, message, to) -> handled.incrementAndGet());
        RawPeer peer = newPeer().dial(mAddress);
        peer.send(forward("a").toBuilder().setCallId(1).build());
        peer.send(forward("a").toBuilder().setCallId(1).build());
        assertThat(peer.isClosed()).isTrue();
        assertThat(handled).hasValue(1);
    }

    @Example
    void oversizedFrameClosesConnection() throws IOException {
        RawPeer peer = newPeer().dial(mAddress);
        peer.sendLength((1 << 20) + 1);
        assertThat(peer.isClosed()).isTrue();
        assertThat(mLinks.statistics().protocolErrors()).isEqualTo(1);
    }

    @Example
    void oversizedFrameBeforeHandshakeClosesConnection() throws IOException {
        RawPeer peer = newPeer().dialSocket(mAddress);
        peer.sendLength(Connection.HANDSHAKE_FRAME_BYTES + 1);
        assertThat(peer.isClosed()).isTrue();
    }

    @Example
    void malformedFrameClosesConnection() throws IOException {
        RawPeer peer = newPeer().dial(mAddress);
        peer.sendBytes(new byte[] {(byte) 0xff, (byte) 0xff, (byte) 0xff, 1, 2, 3});
        assertThat(peer.isClosed()).isTrue();
        assertThat(mLinks.statistics().protocolErrors()).isEqualTo(1);
    }

    @Example
    void secondHelloClosesConnection() throws IOException {
        RawPeer peer = newPeer().dial(mAddress);
        peer.send(peer.hello());
        assertThat(peer.isClosed()).isTrue();
        assertThat(mLinks.statistics().protocolErrors()).isEqualTo(1);
    }

    @Example
    void messageBeforeHandshakeIsNotHandled() throws IOException {
        AtomicInteger handled = new AtomicInteger();
        mLinks.setHandler(
                Envelope.BodyCase.HEARTBEAT, (from, message, to) -> handled.incrementAndGet());
        RawPeer peer = newPeer().dialSocket(mAddress);
        peer.send(Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build());
        assertThat(peer.read().hasLinkError()).isTrue();
        assertThat(peer.isClosed()).isTrue();
        assertThat(handled).hasValue(0);
    }

    @Example
    void laterRunClosesEarlierRunAndEarlierRunIsRefused() throws IOException {
        RawPeer earlier = newPeer().dial(mAddress);
        LinkFixture.awaitTrue("connected", () -> mLinks.connected().contains(SECOND));
        RawPeer later = new RawPeer(SECOND, 2, LinkFixture.settings());
        mRawPeers.add(later);
        later.dial(mAddress);
        assertThat(earlier.isClosed()).isTrue();
        RawPeer reconnected = newPeer().dial(mAddress);
        assertThat(reconnected.read().getLinkError().getReason()).contains("later run");
        assertThat(mLinks.connected()).containsExactly(SECOND);
    }

    @Example
    void requestIsNotSentToAddressOfAnotherInstance() throws IOException {
        RawPeer peer = newPeer();
        CompletableFuture<Either<LinkError, Envelope>> call =
                mLinks.call(new InstanceId("third"), forward("a"), LONG);
        assertThat(errorOf(call)).isInstanceOf(LinkError.NotSent.class);
        mLinks.setAddress(new InstanceId("third"), peer.address());
        call = mLinks.call(new InstanceId("third"), forward("a"), LONG);
        peer.acceptSocket();
        Hello dialer = peer.read().getHello();
        peer.send(
                new Handshake(new Incarnation(SECOND, 1), LinkFixture.settings())
                        .accept(dialer)
                        .get());
        assertThat(errorOf(call)).isInstanceOf(LinkError.NotSent.class);
    }

    @Example
    void requestsAboveLimitAreRefusedWithoutRunning() throws IOException {
        AtomicInteger handled = new AtomicInteger();
        mLinks.setHandler(
                Envelope.BodyCase.FORWARD, (from, message, to) -> handled.incrementAndGet());
        RawPeer peer = newPeer().dial(mAddress);
        for (int i = 0; i < 17; i++) {
            peer.send(forward("r" + i).toBuilder().setCallId(2 * i + 1).build());
        }
        Envelope answer = peer.read();
        assertThat(answer.hasLinkError()).isTrue();
        assertThat(answer.getCallId()).isEqualTo(33);
        assertThat(handled).hasValue(16);
    }

    @Example
    void largeMessageDoesNotDelayHeartbeats() throws IOException {
        RawPeer bulk = newPeer();
        mLinks.call(SECOND, large(1_000_000), LONG);
        bulk.accept();
        assertThat(
                        mLinks.send(
                                SECOND,
                                Envelope.newBuilder()
                                        .setHeartbeat(Heartbeat.newBuilder().setDigest(7))
                                        .build()))
                .isTrue();
        RawPeer control = bulk.accept();
        assertThat(control.read().getHeartbeat().getDigest()).isEqualTo(7);
    }
}
