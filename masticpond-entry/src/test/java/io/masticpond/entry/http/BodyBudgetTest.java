package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.routing.RequestLimits;
import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterTry;

/** Tests that clients' bodies are read only while the budget has room for them. */
class BodyBudgetTest {

    private static final RequestLimits LIMITS =
            new RequestLimits(400, 1 << 20, Duration.ofSeconds(3), Duration.ofSeconds(15));
    private static final String POST = "POST /p HTTP/1.1\r\nHost: h\r\n";
    private static final String CHUNKED = POST + "Transfer-Encoding: chunked\r\n\r\n";
    private static final String UPLOAD = POST + "Content-Length: 360000\r\n\r\n";

    /** Fixture whose requests may use 1.2 MB, of which 75 kB are the reserve for small bodies. */
    private final EntryFixture mFixture =
            new EntryFixture(BodyBudgetSettings.ofTotal(2_000_000), LIMITS);

    private final List<EmbeddedChannel> mOpened = new ArrayList<>();

    @AfterTry
    void close() {
        mOpened.forEach(EmbeddedChannel::releaseOutbound);
    }

    private EmbeddedChannel open() {
        mOpened.add(mFixture.open(new EmbeddedChannel()));
        return mOpened.get(mOpened.size() - 1);
    }

    private EmbeddedChannel send(String text) {
        EmbeddedChannel channel = open();
        EntryFixture.send(channel, text);
        return channel;
    }

    private static String chunk(int length) {
        return Integer.toHexString(length) + "\r\n" + "c".repeat(length) + "\r\n";
    }

    /** Guards against small requests that wait or are refused because of uploads. */
    @Example
    void uploadsBesideSmallRequestsAreRefusedBeforeTheirBodyIsRead() {
        List<EmbeddedChannel> uploads = new ArrayList<>();
        for (int each = 0; each < 3; each++) {
            uploads.add(send(UPLOAD + "u"));
        }
        EmbeddedChannel refused = send(UPLOAD);
        assertThat(EntryFixture.sent(refused))
                .startsWith("HTTP/1.1 503 ")
                .contains("retry-after: 0.5\r\n");
        assertThat(mFixture.mBudget.refusals()).isEqualTo(1);
        for (int each = 1; each <= 8; each++) {
            send(POST + "Content-Length: 8000\r\n\r\n" + "s".repeat(8000));
            assertThat(mFixture.mRequests).hasSize(each);
        }
        for (int each = 0; each < 8; each++) {
            mFixture.answer(each, 200, "");
        }
        EntryFixture.send(uploads.get(0), "u".repeat(359_999));
        mFixture.answer(8, 200, "");
        send(UPLOAD + "u".repeat(360_000));
        assertThat(mFixture.mRequests).hasSize(10);
    }

    @Example
    void chunkedBodyIsNotReadWhileTheBudgetIsExhausted() {
        EmbeddedChannel upload = send(UPLOAD);
        send(UPLOAD);
        send(UPLOAD);
        EmbeddedChannel chunked = send(CHUNKED + chunk(60_000));
        assertThat(chunked.config().isAutoRead()).isFalse();
        mFixture.advance(Duration.ofMillis(2_900));
        assertThat(EntryFixture.sent(chunked)).isEmpty();
        upload.close();
        chunked.runPendingTasks();
        mFixture.mChannel.runPendingTasks();
        assertThat(chunked.config().isAutoRead()).isTrue();
        EntryFixture.send(chunked, chunk(10) + "0\r\n\r\n");
        assertThat(mFixture.mRequests).hasSize(1);
        assertThat(mFixture.body(0)).hasSize(60_010);
    }

    @Example
    void chunkedBodyIsRefusedAfterTheHeaderTimeoutWithoutRoom() {
        for (int each = 0; each < 3; each++) {
            send(UPLOAD);
        }
        EmbeddedChannel chunked = send(CHUNKED + chunk(60_000));
        mFixture.advance(Duration.ofMillis(3_100));
        assertThat(EntryFixture.sent(chunked)).startsWith("HTTP/1.1 503 ").contains("retry-after:");
        assertThat(mFixture.mRequests).isEmpty();
    }

    /** Guards against a client whose pipelined uploads take the room of all others. */
    @Example
    void pipelinedUploadWaitsForTheEarlierOnesOfItsConnection() {
        String upload = POST + "Content-Length: 100000\r\n\r\n" + "u".repeat(100_000);
        EmbeddedChannel channel = send(upload);
        EntryFixture.send(channel, upload);
        assertThat(mFixture.mRequests).hasSize(1);
        assertThat(channel.config().isAutoRead()).isFalse();
        mFixture.answer(0, 200, "");
        assertThat(mFixture.mRequests).hasSize(2);
        mFixture.answer(1, 200, "");
        assertThat(EntryFixture.sent(channel)).doesNotContain("503");
        assertThat(mFixture.mBudget.held()).isZero();
    }

    /** Guards against bytes that stay reserved after their connection has ended in some way. */
    @Property(seed = "42", tries = 200)
    void budgetIsFreeAfterAllConnectionsEndedInAnyOrder(@ForAll long seed) {
        EntryFixture fixture = new EntryFixture(BodyBudgetSettings.ofTotal(1_000_000), LIMITS);
        Random random = new Random(seed);
        List<EmbeddedChannel> channels = new ArrayList<>(List.of(fixture.mChannel));
        int answered = 0;
        for (int step = 0; step < 60; step++) {
            EmbeddedChannel channel = channels.get(random.nextInt(channels.size()));
            switch (random.nextInt(8)) {
                case 0 -> channels.add(fixture.open(new EmbeddedChannel()));
                case 1 -> channel.close();
                case 2 -> fixture.advance(Duration.ofMillis(random.nextInt(6_000)));
                case 3 -> {
                    if (answered < fixture.mResponders.size()) {
                        fixture.answer(answered++, 200, "a".repeat(random.nextInt(20_000)));
                    }
                }
                case 4 -> sendIfOpen(channel, CHUNKED + chunk(1 + random.nextInt(90_000)));
                case 5 -> sendIfOpen(channel, chunk(1 + random.nextInt(90_000)) + "0\r\n\r\n");
                default -> {
                    int length = random.nextInt(400_000);
                    String body = "b".repeat(random.nextBoolean() ? length : length / 2);
                    sendIfOpen(channel, POST + "Content-Length: " + length + "\r\n\r\n" + body);
                }
            }
            channels.forEach(EmbeddedChannel::runPendingTasks);
            assertThat(fixture.mBudget.held()).isLessThanOrEqualTo(600_000);
        }
        channels.forEach(EmbeddedChannel::close);
        channels.forEach(EmbeddedChannel::releaseOutbound);
        fixture.advance(Duration.ofSeconds(10));
        assertThat(fixture.mBudget.held()).isZero();
        assertThat(fixture.mConnections.openRequests()).isZero();
    }

    private static void sendIfOpen(EmbeddedChannel channel, String text) {
        if (channel.isOpen()) {
            EntryFixture.send(channel, text);
        }
    }
}
