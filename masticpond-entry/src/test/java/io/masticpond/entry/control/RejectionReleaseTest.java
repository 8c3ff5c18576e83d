package io.masticpond.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.crash.RequestFingerprint;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests that the release of a rejected request is answered once and in time. */
class RejectionReleaseTest {

    private static final RequestFingerprint FINGERPRINT =
            RequestFingerprint.parse("0123456789abcdef0123456789abcdef").orElseThrow();

    private final EmbeddedChannel mControl = new EmbeddedChannel();
    private final Queue<Runnable> mTraffic = new ArrayDeque<>();
    private final List<RequestFingerprint> mReleased = new ArrayList<>();
    private final List<Either<ControlProblem, Boolean>> mAnswers = new ArrayList<>();
    private final RejectionRelease mRelease =
            new RejectionRelease(mTraffic::add, mControl.eventLoop(), mReleased::add);

    RejectionReleaseTest() {
        mControl.freezeTime();
    }

    /** Guards against an operator who waits without an end for a busy traffic thread. */
    @Example
    void answersInTimeThoughTheTrafficThreadIsBusy() {
        mRelease.release(FINGERPRINT, mAnswers::add);
        passSecond();
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).getLeft().status()).isEqualTo(503);
        assertThat(mAnswers.get(0).getLeft().detail()).contains("pending");
        runTraffic();
        assertThat(mReleased).containsExactly(FINGERPRINT);
        assertThat(mAnswers).as("answered once").hasSize(1);
    }

    /** Guards against a second answer after the timeout of a release that was answered. */
    @Example
    void answersOnceWhenTheTrafficThreadIsFree() {
        mRelease.release(FINGERPRINT, mAnswers::add);
        runTraffic();
        passSecond();
        assertThat(mAnswers).containsExactly(Either.right(true));
    }

    private void runTraffic() {
        mTraffic.remove().run();
        mControl.runPendingTasks();
    }

    private void passSecond() {
        mControl.advanceTimeBy(1, TimeUnit.SECONDS);
        mControl.runScheduledPendingTasks();
    }
}
