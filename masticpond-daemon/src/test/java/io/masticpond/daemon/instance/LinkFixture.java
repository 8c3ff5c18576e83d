package io.masticpond.daemon.instance;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.Forward;
import io.masticpond.protocol.generated.ForwardAnswer;
import io.vavr.control.Either;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.BooleanSupplier;

/** Links and messages that tests share; closes what it made. */
final class LinkFixture implements AutoCloseable {

    static final InstanceId FIRST = new InstanceId("first");
    static final InstanceId SECOND = new InstanceId("second");

    /** Only bounds a hang: no verdict rests on how soon something comes. */
    static final Duration LONG = Duration.ofSeconds(60);

    private static final byte[] SECRET = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

    private final List<NettyInstanceLinks> mOpen = new ArrayList<>();

    static KeyRing keys(String inUse, String... ids) {
        Map<String, byte[]> keys = new HashMap<>();
        for (String id : ids) {
            keys.put(
                    id,
                    (id + new String(SECRET, StandardCharsets.UTF_8))
                            .getBytes(StandardCharsets.UTF_8));
        }
        return new KeyRing(inUse, keys);
    }

    static LinkSettings settings() {
        return settings(keys("k1", "k1"));
    }

    /** Gives settings whose times pass in no test. */
    static LinkSettings settings(KeyRing keys) {
        LinkSettings normal = LinkSettings.of("127.0.0.1:0", keys);
        return new LinkSettings(
                normal.listenAddress(),
                normal.keys(),
                normal.lowestVersion(),
                normal.highestVersion(),
                normal.maximumFrameBytes(),
                normal.maximumQueuedBytes(),
                normal.maximumCalls(),
                LONG,
                normal.minimumBackoff(),
                normal.maximumBackoff(),
                LONG,
                LONG);
    }

    static Envelope forward(String request) {
        return Envelope.newBuilder().setForward(Forward.newBuilder().setRequest(request)).build();
    }

    static Envelope answer(String request) {
        return Envelope.newBuilder()
                .setForwardAnswer(ForwardAnswer.newBuilder().setRequest(request))
                .build();
    }

    static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(2 * LONG.toSeconds(), TimeUnit.SECONDS);
        } catch (InterruptedException | ExecutionException | TimeoutException e) {
            throw new AssertionError("The future did not complete.", e);
        }
    }

    static LinkError errorOf(CompletableFuture<Either<LinkError, Envelope>> call) {
        return await(call).getLeft();
    }

    static void awaitTrue(String what, BooleanSupplier condition) {
        long end = System.nanoTime() + LONG.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("It never became true: " + what);
            }
            Thread.yield();
        }
    }

    /** Makes links that do not listen yet. */
    NettyInstanceLinks make(InstanceId id, long incarnation, LinkSettings settings) {
        return make(id, incarnation, settings, new SystemTimeSource());
    }

    /** Makes links whose silences and waits follow a clock of the test. */
    NettyInstanceLinks make(
            InstanceId id, long incarnation, LinkSettings settings, TimeSource timeSource) {
        NettyInstanceLinks links =
                new NettyInstanceLinks(new Incarnation(id, incarnation), settings, timeSource, 1);
        mOpen.add(links);
        return links;
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static void echo(NettyInstanceLinks links) {
        links.handle(
                Envelope.BodyCase.FORWARD,
                (from, message, responder) ->
                        responder.answer(answer(message.getForward().getRequest())));
    }

    @Override
    public void close() {
        mOpen.forEach(NettyInstanceLinks::close);
    }
}
