package io.masticpond.entry.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import net.jqwik.api.Example;

/** Tests of a planned stop on a manually advanced clock. */
class PlannedStopTest implements StopActions, OpenWork {

    private static final Duration GRACE = Duration.ofSeconds(6);
    private static final Duration ANSWERS_KEPT_FOR = Duration.ofMillis(1500);

    private record ScheduledWork(long at, Runnable work) implements Comparable<ScheduledWork> {
        @Override
        public int compareTo(ScheduledWork other) {
            return Long.compare(at, other.at);
        }
    }

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final PriorityQueue<ScheduledWork> mScheduled = new PriorityQueue<>();
    private final List<String> mActions = new ArrayList<>();
    private final PlannedStop mStop =
            new PlannedStop(
                    StopSettings.within(GRACE, ANSWERS_KEPT_FOR), this, this, this::after, mTime);
    private int mRequests;
    private int mConnections;
    private boolean mWithdrawing;
    private boolean mIsTrafficThreadBusy;
    private Runnable mPendingCallback;

    private void after(Duration delay, Runnable work) {
        mScheduled.add(new ScheduledWork(mTime.monotonicNanos() + delay.toNanos(), work));
    }

    private void advance(Duration duration) {
        long end = mTime.monotonicNanos() + duration.toNanos();
        while (!mScheduled.isEmpty() && mScheduled.peek().at() <= end) {
            ScheduledWork next = mScheduled.poll();
            mTime.advance(Duration.ofNanos(next.at() - mTime.monotonicNanos()));
            next.work().run();
        }
        mTime.advance(Duration.ofNanos(end - mTime.monotonicNanos()));
    }

    private long elapsed() {
        return Duration.ofNanos(mTime.monotonicNanos()).toMillis();
    }

    private void record(String what) {
        mActions.add(elapsed() + " " + what);
    }

    private void complete(Runnable callback) {
        if (mIsTrafficThreadBusy) {
            mPendingCallback = callback;
        } else {
            callback.run();
        }
    }

    @Override
    public void announceLeaving() {
        record("announce");
    }

    @Override
    public void withdrawRecord() {
        record("withdraw");
    }

    @Override
    public void stopAccepting(Runnable onStopped) {
        record("refuse");
        complete(onStopped);
    }

    @Override
    public void closeIdleConnections() {
        record("close");
        mConnections = mRequests;
    }

    @Override
    public void answerUnfinished(Runnable onAnswered) {
        record("answer");
        mRequests = 0;
        complete(onAnswered);
    }

    @Override
    public void exit() {
        record("exit");
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
    void idleInstanceServesClientsThatKnowItsAddressAndEnds() {
        mConnections = 5;
        mStop.begin();
        mStop.begin();
        assertThat(mStop.isStopping()).isTrue();
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.LEAVING);
        advance(GRACE);
        assertThat(mActions)
                .containsExactly(
                        "0 announce", "0 withdraw", "2250 refuse", "2250 close", "2250 exit");
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.ENDED);
    }

    @Example
    void endsWhenTheLastRequestIsFinished() {
        mRequests = 1;
        mStop.begin();
        advance(Duration.ofSeconds(4));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        mRequests = 0;
        advance(Duration.ofMillis(10));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        mConnections = 0;
        advance(Duration.ofMillis(50));
        assertThat(mActions).contains("4050 exit").doesNotContain("5300 answer");
    }

    @Example
    void answersUnfinishedRequestsBeforeTheProcessIsKilled() {
        mRequests = 2;
        mStop.begin();
        advance(GRACE);
        assertThat(mActions).endsWith("5300 answer", "5475 exit");
    }

    /** Guards against an end that is decided on counts to which connections are still added. */
    @Example
    void doesNotEndBeforeAcceptingHasStopped() {
        mIsTrafficThreadBusy = true;
        mStop.begin();
        advance(Duration.ofMillis(2400));
        mConnections = 1;
        mRequests = 1;
        mPendingCallback.run();
        advance(Duration.ofMillis(600));
        assertThat(mActions).endsWith("2250 refuse", "2250 close");
        mConnections = 0;
        mRequests = 0;
        advance(GRACE);
        assertThat(mActions).endsWith("2250 close", "3050 exit");
    }

    /** Guards against a process that ends before its last requests are answered. */
    @Example
    void doesNotEndBeforeUnfinishedRequestsAreAnswered() {
        mRequests = 1;
        mStop.begin();
        advance(Duration.ofMillis(2500));
        mIsTrafficThreadBusy = true;
        advance(Duration.ofMillis(3200));
        assertThat(mActions).endsWith("5300 answer");
        mPendingCallback.run();
        advance(GRACE);
        assertThat(mActions).endsWith("5300 answer", "5875 exit");
    }

    @Example
    void waitsForRemovalFromStoreUpToTheDeadline() {
        mWithdrawing = true;
        mStop.begin();
        advance(Duration.ofSeconds(5));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.FINISHING);
        advance(Duration.ofSeconds(1));
        assertThat(mStop.phase()).isEqualTo(PlannedStop.Phase.ENDED);
    }

    @Example
    void dividesShortGracePeriodInTheSameProportions() {
        StopSettings settings = StopSettings.within(Duration.ofSeconds(2), ANSWERS_KEPT_FOR);
        assertThat(settings.acceptFor()).isEqualTo(Duration.ofMillis(900));
        assertThat(settings.endBy()).isEqualTo(Duration.ofMillis(1750));
        assertThat(settings.endBy().plus(settings.flushFor())).isLessThan(Duration.ofSeconds(2));
    }

    @Example
    void instanceIsReadyOnlyIfAllConditionsHold() {
        assertThat(new Readiness(() -> true, () -> true, mStop::isStopping).isReady()).isTrue();
        assertThat(new Readiness(() -> false, () -> true, () -> false).isReady()).isFalse();
        assertThat(new Readiness(() -> true, () -> false, () -> false).isReady()).isFalse();
        mStop.begin();
        assertThat(new Readiness(() -> true, () -> true, mStop::isStopping).isReady()).isFalse();
    }
}
