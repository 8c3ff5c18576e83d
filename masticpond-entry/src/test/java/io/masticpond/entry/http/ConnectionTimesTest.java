package io.masticpond.entry.http;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.time.Duration;
import net.jqwik.api.Example;

class ConnectionTimesTest {

    private static final String GET = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

    @Example
    void rejectsHeadersThatTakeTooLong() {
        EntryFixture fixture = new EntryFixture();
        fixture.advance(Duration.ofSeconds(10));
        fixture.send("GET / HTTP/1.1\r\n");
        fixture.advance(Duration.ofMillis(2900));
        fixture.send("Host: h\r\n");
        assertThat(fixture.sent()).isEmpty();

        fixture.advance(Duration.ofMillis(200));

        assertThat(fixture.sent()).startsWith("HTTP/1.1 408 ").contains("Connection: close");
        assertThat(fixture.mChannel.isOpen()).isFalse();
    }

    @Example
    void rejectsBodiesThatStall() {
        EntryFixture fixture = new EntryFixture();
        fixture.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\na");
        fixture.advance(Duration.ofSeconds(14));
        fixture.send("b");
        fixture.advance(Duration.ofSeconds(14));
        assertThat(fixture.sent()).isEmpty();

        fixture.advance(Duration.ofSeconds(5));

        assertThat(fixture.sent()).startsWith("HTTP/1.1 408 ");
        assertThat(fixture.mConnections.budget().held()).isZero();
    }

    @Example
    void closesAnIdleConnectionWithoutAnAnswerAfterTheIdleTimeout() {
        EntryFixture fixture = new EntryFixture();
        fixture.advance(Duration.ofSeconds(14));
        fixture.send(GET);
        fixture.answer(0, 200, "");
        fixture.sent();
        fixture.advance(Duration.ofMillis(14_900));
        assertThat(fixture.mChannel.isOpen()).isTrue();

        fixture.advance(Duration.ofSeconds(4));

        assertThat(fixture.mChannel.isOpen()).isFalse();
        assertThat(fixture.sent()).isEmpty();
    }

    @Example
    void keepsConnectionsWhoseRequestIsInFlight() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(GET);

        fixture.advance(Duration.ofSeconds(60));

        fixture.answer(0, 200, "");
        assertThat(fixture.sent()).startsWith("HTTP/1.1 200 ");
        assertThat(fixture.mChannel.isOpen()).isTrue();
    }

    @Example
    void closesIdleConnectionsAfterThePauseWhenDraining() {
        EntryFixture fixture = new EntryFixture();
        fixture.mConnections.drain();
        fixture.mConnections.closeIdle();
        fixture.advance(Duration.ofMillis(400));
        assertThat(fixture.mChannel.isOpen()).isTrue();

        fixture.advance(Duration.ofMillis(200));

        assertThat(fixture.mChannel.isOpen()).isFalse();
    }

    /** Guards against requests that cross the close of connections that clients still use. */
    @Example
    void keepsIdleConnectionsWhileDrainingUntilTheyAreToBeClosed() {
        EntryFixture fixture = new EntryFixture();
        fixture.mConnections.drain();
        fixture.advance(Duration.ofSeconds(2));
        fixture.send(GET);

        fixture.answer(0, 200, "");

        assertThat(fixture.sent()).contains("HTTP/1.1 200 ", "Connection: close\r\n");
        assertThat(fixture.mChannel.isOpen()).isFalse();
    }

    /** Guards against a planned stop that waits for an idle connection until its deadline. */
    @Example
    void closesIdleConnectionsThatAreAcceptedWhileDrainingAfterThePause() {
        EntryFixture fixture = new EntryFixture();
        fixture.mConnections.drain();
        fixture.mConnections.closeIdle();
        fixture.advance(Duration.ofSeconds(2));
        EmbeddedChannel late = fixture.open(new EmbeddedChannel());

        fixture.advance(Duration.ofMillis(600));

        assertThat(late.isOpen()).isFalse();
    }

    @Example
    void handlesRequestsReceivedBeforeTheCloseAndClosesAfterTheirAnswer() {
        EntryFixture fixture = new EntryFixture();
        fixture.mConnections.drain();
        fixture.mConnections.closeIdle();
        fixture.advance(Duration.ofMillis(300));
        fixture.send(GET);
        fixture.advance(Duration.ofSeconds(5));

        fixture.answer(0, 200, "");

        assertThat(fixture.sent()).contains("HTTP/1.1 200 ", "Connection: close\r\n");
        assertThat(fixture.mChannel.isOpen()).isFalse();
    }

    @Example
    void closesDrainedConnectionsOnlyAfterTheLastRequestInFlight() {
        EntryFixture fixture = new EntryFixture();
        fixture.send(GET + GET);
        fixture.mConnections.drain();
        fixture.send(GET);
        assertThat(fixture.mRequests).hasSize(2);

        fixture.answer(0, 200, "");
        assertThat(fixture.sent()).doesNotContain("Connection");
        fixture.answer(1, 200, "");

        assertThat(fixture.sent()).contains("Connection: close");
        assertThat(fixture.mChannel.isOpen()).isFalse();
        assertThat(fixture.mRequests).hasSize(2);
    }
}
