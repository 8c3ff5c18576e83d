package io.masticpond.entry.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import net.jqwik.api.Example;

/** A planned stop on a clock that moves when told to. */
class PlannedStopTest implements StopActions, OpenWork {

    private static final Duration GRACE = Duration.ofSeconds(6);
    private static final Duration KEPT = Duration.ofMillis(1500);

    private record Later(long at, Runnable work) implements Comparable<Later> {
        @Override
        public int compareTo(Later other) {
            return Long.compare(at, other.at);
        }
    }

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final PriorityQueue<Later> mLater = new PriorityQueue<>();
    private final List<String> mDone = new ArrayList<>();
    private final PlannedStop mStop =
            new PlannedStop(StopSettings.within(GRACE, KEPT), this, this, this::after, mTime);
    private int mRequests;
    private int mConnections;
    private boolean mWithdrawing;

    private void after(Duration delay, Runnable work) {
        mLater.add(new Later(mTime.monotonicNanos() + delay.toNanos(), work));
    }

    private void pass(Duration duration) {
        long end = mTime.monotonicNanos() + duration.toNanos();
        while (!mLater.isEmpty() && mLater.peek().at() <= end) {
            Later next = mLater.poll();
            mTime.advance(Duration.ofNanos(next.at() - mTime.monotonicNanos()));
            next.work().run();
        }
        mTime.advance(Duration.ofNanos(end - mTime.monotonicNanos()));
    }

    private long elapsed() {
        return Duration.ofNanos(mTime.monotonicNanos()).toMillis();
    }

    private void note(String what) {
        mDone.add(elapsed() + " " + what);
    }

    @Override
    public void announceLeaving() {
        note("announce");
    }

    @Override
    public void withdrawRecord() {
        note("withdraw");
    }

    @Override
    public void stopAccepting() {
        note("refuse");
    }

    @Override
    public void closeIdleConnections() {
        note("close");
        mConnections = mRequests;
    }

    @Override
    public void answerUnfinished() {
        note("answer");
        mRequests = 0;
    }

    @Override
    public void exit() {
        note("exit");
    }

    @Override
    public int requests() {
        return mRequests;
    }

    @Override
    public int connections() {
        return mConnections;
    }

    @Override
    public boolean isWithdrawalPending() {
        return mWithdrawing;
    }

    @Example
    void anIdleInstanceServesOnForThoseWhoWereToldOfItAndEnds() {
        mConnections = 5;
        mStop.begin();
        mStop.begin();
        assertThat(mStop.isStopping()).isTrue();
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.LEAVING);
        pass(GRACE);
        assertThat(mDone)
                .containsExactly(
                        "0 announce", "0 withdraw", "2250 refuse", "2250 close", "2250 exit");
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.ENDED);
    }

    @Example
    void itEndsWhenTheLastRequestIsFinished() {
        mRequests = 1;
        mStop.begin();
        pass(Duration.ofSeconds(4));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        mRequests = 0;
        pass(Duration.ofMillis(10));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        mConnections = 0;
        pass(Duration.ofMillis(50));
        assertThat(mDone).contains("4050 exit").doesNotContain("5300 answer");
    }

    @Example
    void whatIsUnfinishedIsAnsweredBeforeTheProcessIsKilled() {
        mRequests = 2;
        mStop.begin();
        pass(GRACE);
        assertThat(mDone).endsWith("5300 answer", "5475 exit");
    }

    @Example
    void itWaitsForTheRemovalFromTheStoreButNotForEver() {
        mWithdrawing = true;
        mStop.begin();
        pass(Duration.ofSeconds(5));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        pass(Duration.ofSeconds(1));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.ENDED);
    }

    @Example
    void aShortTimeIsDividedLikewise() {
        StopSettings settings = StopSettings.within(Duration.ofSeconds(2), KEPT);
        assertThat(settings.acceptFor()).isEqualTo(Duration.ofMillis(900));
        assertThat(settings.endBy()).isEqualTo(Duration.ofMillis(1750));
        assertThat(settings.endBy().plus(settings.flushFor())).isLessThan(Duration.ofSeconds(2));
    }

    @Example
    void anInstanceIsReadyWhenNothingSpeaksAgainstIt() {
        assertThat(new Readiness(() -> true, () -> true, mStop::isStopping).isReady()).isTrue();
        assertThat(new Readiness(() -> false, () -> true, () -> false).isReady()).isFalse();
        assertThat(new Readiness(() -> true, () -> false, () -> false).isReady()).isFalse();
        mStop.begin();
        assertThat(new Readiness(() -> true, () -> true, mStop::isStopping).isReady()).isFalse();
    }
}
