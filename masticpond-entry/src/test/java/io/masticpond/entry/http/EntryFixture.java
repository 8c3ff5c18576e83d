package io.masticpond.entry.http;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.time.ManualTimeSource;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Fixture with a server on embedded channels, whose handler keeps requests until the test answers
 * them.
 */
final class EntryFixture {

    static final RequestLimits LIMITS =
            new RequestLimits(400, 1000, Duration.ofSeconds(3), Duration.ofSeconds(15));
    static final HttpEntryOptions OPTIONS =
            new HttpEntryOptions(
                    4,
                    "0.5",
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(1),
                    Duration.ofMillis(500));

    final BodyBudget mBudget;
    final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    final List<IncomingRequest> mRequests = new ArrayList<>();
    final List<Responder> mResponders = new ArrayList<>();
    final EmbeddedChannel mChannel = new EmbeddedChannel();
    final EntryConnections mConnections;

    EntryFixture() {
        this(new BodyBudgetSettings(2000, 2000, 2000, 0), LIMITS);
    }

    EntryFixture(BodyBudgetSettings bodies, RequestLimits limits) {
        mBudget = new BodyBudget(bodies);
        mConnections =
                new EntryConnections(
                        mChannel.eventLoop(), this::handle, () -> limits, mTime, OPTIONS, mBudget);
        mChannel.freezeTime();
        open(mChannel);
    }

    /**
     * Keeps a request with a copy of its body, and releases the original as every receiver must.
     */
    private void handle(IncomingRequest request, Responder responder) {
        mRequests.add(
                new IncomingRequest(
                        request.method(),
                        request.target(),
                        request.headers(),
                        Unpooled.copiedBuffer(request.body()),
                        request.beginNanos(),
                        request.arrivalNanos()));
        request.body().release();
        mResponders.add(responder);
    }

    /** Opens another connection. */
    EmbeddedChannel open(EmbeddedChannel channel) {
        channel.pipeline().addLast(new ClientConnection(mConnections));
        channel.pipeline().fireChannelActive();
        return channel;
    }

    void send(String text) {
        send(mChannel, text);
    }

    static void send(EmbeddedChannel channel, String text) {
        channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
    }

    /** Advances the clock and the timers in steps. */
    void advance(Duration duration) {
        long step = Duration.ofMillis(50).toNanos();
        for (long left = duration.toNanos(); left > 0; left -= step) {
            mTime.advance(Duration.ofNanos(Math.min(step, left)));
            mChannel.advanceTimeBy(Math.min(step, left), TimeUnit.NANOSECONDS);
            mChannel.runScheduledPendingTasks();
            mChannel.runPendingTasks();
        }
    }

    void answer(int index, int status, String body, String... headers) {
        HttpHeaders all = new DefaultHttpHeaders();
        for (int i = 0; i < headers.length; i += 2) {
            all.add(headers[i], headers[i + 1]);
        }
        ByteBuf bytes = Unpooled.copiedBuffer(body, StandardCharsets.ISO_8859_1);
        mResponders.get(index).answer(new OutgoingAnswer(status, all, bytes));
    }

    String sent() {
        return sent(mChannel);
    }

    /** Returns and removes all that was written to a connection. */
    static String sent(EmbeddedChannel channel) {
        StringBuilder text = new StringBuilder();
        for (ByteBuf part = channel.readOutbound(); part != null; part = channel.readOutbound()) {
            text.append(part.toString(StandardCharsets.ISO_8859_1));
            part.release();
        }
        return text.toString();
    }

    List<String> targets() {
        return mRequests.stream().map(IncomingRequest::target).toList();
    }

    String body(int index) {
        return mRequests.get(index).body().toString(StandardCharsets.ISO_8859_1);
    }
}
