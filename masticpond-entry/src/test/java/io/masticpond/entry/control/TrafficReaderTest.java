package io.masticpond.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.netty.channel.embedded.EmbeddedChannel;
import io.vavr.control.Either;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** The traffic thread is asked seldom, and whoever asks has an answer in time. */
class TrafficReaderTest {

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final EmbeddedChannel mControl = new EmbeddedChannel();
    private final Queue<Runnable> mTraffic = new ArrayDeque<>();
    private final List<Either<ControlProblem, TrafficSnapshot>> mAnswers = new ArrayList<>();
    private boolean mFails;
    private final TrafficReader mReader =
            new TrafficReader(mTime, mTraffic::add, mControl.eventLoop(), this::take);

    @Example
    void manyQuestionsAreOneTaskAndOneSnapshotWhileItIsFresh() {
        ask(5);
        assertThat(mTraffic).hasSize(1);
        runTraffic();
        ask(5);
        assertThat(mTraffic).isEmpty();
        assertThat(mAnswers).hasSize(10).allMatch(Either::isRight);
        mTime.advance(TrafficReader.MAXIMUM_AGE);
        ask(1);
        assertThat(mTraffic).hasSize(1);
    }

    @Example
    void trafficThreadThatDoesNotComeIsSaidInTimeAndAskedNoSecondTime() {
        ask(2);
        passTime();
        assertThat(mAnswers).hasSize(2).allMatch(each -> each.getLeft().status() == 503);
        ask(1);
        assertThat(mTraffic).hasSize(1);
        runTraffic();
        assertThat(mAnswers).hasSize(3);
        assertThat(mAnswers.get(2).isRight()).isTrue();
    }

    @Example
    void crowdOfQuestionsIsRefusedBeyondItsBound() {
        ask(TrafficReader.MAXIMUM_WAITING + 1);
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).getLeft().cause()).isEqualTo("too-many-questions");
    }

    @Example
    void snapshotThatFailsIsSaidAndTheNextQuestionAsksAgain() {
        mFails = true;
        ask(1);
        runTraffic();
        assertThat(mAnswers.get(0).getLeft().status()).isEqualTo(500);
        mFails = false;
        ask(1);
        runTraffic();
        assertThat(mAnswers.get(1).isRight()).isTrue();
    }

    private TrafficSnapshot take(long nowNanos) {
        if (mFails) {
            throw new IllegalStateException("No snapshot.");
        }
        return new TrafficSnapshot(
                nowNanos, List.of(), Map.of(), List.of(), List.of(), WorkspaceSnapshot.NONE);
    }

    private void ask(int times) {
        for (int time = 0; time < times; time++) {
            mReader.read(mAnswers::add);
        }
    }

    private void runTraffic() {
        mTraffic.remove().run();
        mControl.runPendingTasks();
    }

    private void passTime() {
        mControl.advanceTimeBy(TrafficReader.TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        mControl.runScheduledPendingTasks();
    }
}
