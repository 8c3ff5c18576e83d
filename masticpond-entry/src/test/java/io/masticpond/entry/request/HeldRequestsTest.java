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
 * All clients come back at once to instances that have just started: their requests go on in order
 * when the snapshot is there, and none waits for long.
 */
class HeldRequestsTest {

    private final EmbeddedChannel mChannel = new EmbeddedChannel();
    private final List<String> mGivenUp = new ArrayList<>();
    private final List<String> mGone = new ArrayList<>();
    private final List<String> mReleased = new ArrayList<>();
    private final HeldRequests mHeld =
            new HeldRequests(
                    mChannel.eventLoop(),
                    (request, responder, facts) -> mGivenUp.add(request.target()),
                    (request, responder, facts) -> mGone.add(request.target()));

    @Example
    void requestsGoOnInTheOrderInWhichTheyCame() {
        hold("first");
        hold("second");
        assertThat(mHeld.size()).isEqualTo(2);
        passMillis(200);
        release();
        assertThat(mReleased).containsExactly("first", "second");
        passMillis(1_000);
        assertThat(mGivenUp).as("each has one end").isEmpty();
    }

    @Example
    void noneWaitsForLongerThanItsOwnTime() {
        hold("first");
        passMillis(HeldRequests.MAXIMUM_WAIT.toMillis() / 2);
        hold("second");
        passMillis(HeldRequests.MAXIMUM_WAIT.toMillis() / 2);
        assertThat(mGivenUp).containsExactly("first");
        release();
        assertThat(mReleased).containsExactly("second");
    }

    @Example
    void requestIsForgottenWithItsClient() {
        FakeResponder responder = hold("first");
        responder.leave();
        assertThat(mGone).containsExactly("first");
        release();
        passMillis(1_000);
        assertThat(mReleased).isEmpty();
        assertThat(mGivenUp).isEmpty();
        assertThat(mHeld.size()).isZero();
    }

    @Example
    void whatWouldBeTooManyIsGivenUpAtOnce() {
        for (int each = 0; each < HeldRequests.MAXIMUM_REQUESTS; each++) {
            hold("held");
        }
        hold("late");
        assertThat(mGivenUp).containsExactly("late");
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
        mHeld.hold(request, responder, new RequestRecord(target, 0));
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
