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

/**
 * Tests that the traffic thread is queried rarely and that each read is completed within its
 * timeout.
 */
class TrafficReaderTest {

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final EmbeddedChannel mControl = new EmbeddedChannel();
    private final Queue<Runnable> mTraffic = new ArrayDeque<>();
    private final List<Either<ControlProblem, TrafficSnapshot>> mAnswers = new ArrayList<>();
    private boolean mFails;
    private final TrafficReader mReader =
            new TrafficReader(mTime, mTraffic::add, mControl.eventLoop(), this::take);

    @Example
    void manyReadsShareOneTaskAndOneSnapshotWhileItIsFresh() {
        read(5);
        assertThat(mTraffic).hasSize(1);
        runTraffic();
        read(5);
        assertThat(mTraffic).isEmpty();
        assertThat(mAnswers).hasSize(10).allMatch(Either::isRight);
        mTime.advance(TrafficReader.MAXIMUM_AGE);
        read(1);
        assertThat(mTraffic).hasSize(1);
    }

    @Example
    void readsTimeOutAndStartNoSecondTaskWhenTheTrafficThreadIsBusy() {
        read(2);
        passTimeout();
        assertThat(mAnswers).hasSize(2).allMatch(each -> each.getLeft().status() == 503);
        read(1);
        assertThat(mTraffic).hasSize(1);
        runTraffic();
        assertThat(mAnswers).hasSize(3);
        assertThat(mAnswers.get(2).isRight()).isTrue();
    }

    @Example
    void rejectsReadsBeyondTheMaximumOfPendingOnes() {
        read(TrafficReader.MAXIMUM_PENDING_READS + 1);
        assertThat(mAnswers).hasSize(1);
        assertThat(mAnswers.get(0).getLeft().cause()).isEqualTo("too-many-questions");
    }

    @Example
    void reportsFailedSnapshotAndTakesAnotherForTheNextRead() {
        mFails = true;
        read(1);
        runTraffic();
        assertThat(mAnswers.get(0).getLeft().status()).isEqualTo(500);
        mFails = false;
        read(1);
        runTraffic();
        assertThat(mAnswers.get(1).isRight()).isTrue();
    }

    private TrafficSnapshot take(long nowNanos) {
        if (mFails) {
            throw new IllegalStateException("No snapshot.");
        }
        return new TrafficSnapshot(
                nowNanos,
                List.of(),
                Map.of(),
                List.of(),
                List.of(),
                WorkspaceSnapshot.NONE,
                List.of());
    }

    private void read(int times) {
        for (int time = 0; time < times; time++) {
            mReader.read(mAnswers::add);
        }
    }

    private void runTraffic() {
        mTraffic.remove().run();
        mControl.runPendingTasks();
    }

    private void passTimeout() {
        mControl.advanceTimeBy(TrafficReader.TIMEOUT.toNanos(), TimeUnit.NANOSECONDS);
        mControl.runScheduledPendingTasks();
    }
}
