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

/** Test fixture that creates links and messages, and closes the links that it created. */
final class LinkFixture implements AutoCloseable {

    static final InstanceId FIRST = new InstanceId("first");
    static final InstanceId SECOND = new InstanceId("second");

    /** Timeout that only bounds a hang; no assertion depends on how soon an event occurs. */
    static final Duration LONG = Duration.ofSeconds(60);

    private static final byte[] SECRET = "0123456789abcdef0123".getBytes(StandardCharsets.UTF_8);

    private final List<NettyInstanceLinks> mLinks = new ArrayList<>();

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

    /** Returns settings whose timeouts elapse in no test. */
    static LinkSettings settings(KeyRing keys) {
        LinkSettings defaults = LinkSettings.of("127.0.0.1:0", keys);
        return new LinkSettings(
                defaults.listenAddress(),
                defaults.keys(),
                defaults.lowestVersion(),
                defaults.highestVersion(),
                defaults.maximumFrameBytes(),
                defaults.maximumQueuedBytes(),
                defaults.maximumCalls(),
                LONG,
                defaults.minimumBackoff(),
                defaults.maximumBackoff(),
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

    static void awaitTrue(String description, BooleanSupplier condition) {
        long end = System.nanoTime() + LONG.toNanos();
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > end) {
                throw new AssertionError("The condition never became true: " + description);
            }
            Thread.yield();
        }
    }

    /** Creates links that are not started. */
    NettyInstanceLinks make(InstanceId id, long incarnation, LinkSettings settings) {
        return make(id, incarnation, settings, new SystemTimeSource());
    }

    /** Creates links whose inactivity timeouts and backoff use the given clock. */
    NettyInstanceLinks make(
            InstanceId id, long incarnation, LinkSettings settings, TimeSource timeSource) {
        NettyInstanceLinks links =
                new NettyInstanceLinks(new Incarnation(id, incarnation), settings, timeSource, 1);
        mLinks.add(links);
        return links;
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    static void echo(NettyInstanceLinks links) {
        links.setHandler(
                Envelope.BodyCase.FORWARD,
                (from, message, responder) ->
                        responder.answer(answer(message.getForward().getRequest())));
    }

    @Override
    public void close() {
        mLinks.forEach(NettyInstanceLinks::close);
    }
}
