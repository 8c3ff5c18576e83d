package io.masticpond.entry.request;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.entry.http.IncomingRequest;
import io.masticpond.entry.log.RequestRecord;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/**
 * Tests that requests which reach an instance right after its start, as when all clients reconnect
 * at the same time, proceed in order once the snapshot is available, and that none waits for long.
 */
class HeldRequestsTest {

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<String> mTimedOut = new ArrayList<>();
    private final List<String> mDisconnected = new ArrayList<>();
    private final List<String> mReleased = new ArrayList<>();
    private final HeldRequests mHeld =
            new HeldRequests(
                    mChannel.eventLoop(),
                    (request, responder, facts) -> mTimedOut.add(request.target()),
                    (request, responder, facts) -> mDisconnected.add(request.target()));

    /** Freezes the channel's time, which otherwise also passes between two steps. */
    HeldRequestsTest() {
        mChannel.freezeTime();
    }

    @Example
    void releasesRequestsInOrderOfArrival() {
        hold("first");
        hold("second");
        assertThat(mHeld.size()).isEqualTo(2);
        passMillis(200);
        release();
        assertThat(mReleased).containsExactly("first", "second");
        passMillis(1_000);
        assertThat(mTimedOut).as("each request ends once").isEmpty();
    }

    @Example
    void timesOutEachRequestAfterItsOwnWait() {
        hold("first");
        passMillis(HeldRequests.MAXIMUM_WAIT.toMillis() / 2);
        hold("second");
        passMillis(HeldRequests.MAXIMUM_WAIT.toMillis() / 2);
        assertThat(mTimedOut).containsExactly("first");
        release();
        assertThat(mReleased).containsExactly("second");
    }

    @Example
    void dropsRequestOfDisconnectedClient() {
        FakeResponder responder = hold("first");
        responder.disconnect();
        assertThat(mDisconnected).containsExactly("first");
        release();
        passMillis(1_000);
        assertThat(mReleased).isEmpty();
        assertThat(mTimedOut).isEmpty();
        assertThat(mHeld.size()).isZero();
    }

    @Example
    void passesRequestBeyondMaximumToTimeoutHandlerAtOnce() {
        for (int each = 0; each < HeldRequests.MAXIMUM_REQUESTS; each++) {
            hold("held");
        }
        hold("late");
        assertThat(mTimedOut).containsExactly("late");
        assertThat(mHeld.size()).isEqualTo(HeldRequests.MAXIMUM_REQUESTS);
    }

    private FakeResponder hold(String target) {
        FakeResponder responder = new FakeResponder();
        IncomingRequest request =
                new IncomingRequest(
                        HttpMethod.GET,
                        target,
                        new DefaultHttpHeaders(),
                        Unpooled.EMPTY_BUFFER,
                        0,
                        0);
        mHeld.hold(request, responder, new RequestRecord(target, 0), Long.MAX_VALUE);
        return responder;
    }

    private void release() {
        mHeld.release((request, responder, facts) -> mReleased.add(request.target()));
    }

    private void passMillis(long millis) {
        mChannel.advanceTimeBy(millis, TimeUnit.MILLISECONDS);
        mChannel.runScheduledPendingTasks();
    }
}
