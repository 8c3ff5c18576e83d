package io.masticpond.daemon.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import java.lang.reflect.Proxy;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.LongUnaryOperator;
import net.jqwik.api.Example;

class PlannedStopTest {

    private static final Duration LOOKUP_LIFETIME = Duration.ofSeconds(2);
    private static final Duration DRAIN_TIMEOUT = Duration.ofSeconds(30);

    private final ManualTimeSource mTime =
            new ManualTimeSource(Instant.parse("2026-12-02T08:00:00Z"));
    private final RecordingParts mParts = new RecordingParts();
    private final PlannedStop mStop =
            new PlannedStop(
                    mParts, mTime, Timeline.NONE, LOOKUP_LIFETIME, DRAIN_TIMEOUT, mTime::advance);

    @Example
    void servesUntilCachedLookupsHaveExpired() {
        assertThat(mStop.stop()).isTrue();
        assertThat(mParts.mRefusingSinceMillis).isGreaterThanOrEqualTo(LOOKUP_LIFETIME.toMillis());
        assertThat(mParts.mSteps).containsExactly("leaving", "refuse", "outcomes", "allotments");
    }

    @Example
    void waitsForRequestsInFlightAndForThoseThatArriveMeanwhile() {
        mParts.mInFlight = millis -> millis < 9_000 || (millis > 9_100 && millis < 12_000) ? 1 : 0;
        assertThat(mStop.stop()).isTrue();
        assertThat(mParts.mRefusingSinceMillis).isGreaterThanOrEqualTo(12_000);
    }

    /**
     * Guards against a request that is cut because it begins between the check for requests in
     * flight and the refusal of new requests.
     */
    @Example
    void requestThatBeginsAtTheDecisionIsFinished() {
        mParts.mRequestBeginsAtDecision = true;
        assertThat(mStop.stop()).isTrue();
        assertThat(mParts.mInFlightAtHandover).isZero();
        assertThat(mParts.mSteps).containsExactly("leaving", "refuse", "outcomes", "allotments");
    }

    @Example
    void stopReportsRequestsThatDoNotEndWithinTimeout() {
        mParts.mInFlight = millis -> 1;
        assertThat(mStop.stop()).isFalse();
        assertThat(mParts.mRefusingSinceMillis).isBetween(30_000L, 30_100L);
    }

    @Example
    void unavailablePlatformDoesNotPreventStop() {
        mParts.mAccepted = false;
        assertThat(mStop.stop()).isTrue();
        assertThat(mParts.mSteps).endsWith("allotments");
    }

    @Example
    void drainCanBeCancelledUntilStop() {
        mStop.drain();
        assertThat(mStop.state()).isEqualTo(DrainState.LEAVING);
        mTime.advance(Duration.ofSeconds(5));
        assertThat(mStop.state()).isEqualTo(DrainState.DRAINED);
        assertThat(mStop.undrain()).isTrue();
        assertThat(mStop.state()).isEqualTo(DrainState.SERVING);
        assertThat(mParts.mSteps).containsExactly("leaving", "staying");
        mStop.stop();
        assertThat(mStop.undrain()).isFalse();
    }

    /** Guards against a stop after a long drain that cuts what is in flight, without any wait. */
    @Example
    void drainTimeoutCountsFromTheStop() {
        mStop.drain();
        mTime.advance(DRAIN_TIMEOUT.multipliedBy(2));
        long end = mParts.millis() + 5_000;
        mParts.mInFlight = millis -> millis < end ? 1 : 0;
        assertThat(mStop.stop()).isTrue();
        assertThat(mParts.mInFlightAtHandover).isZero();
    }

    /** Guards against a second call that lets the process end while the first still waits. */
    @Example
    void secondStopWaitsForTheFirst() throws InterruptedException {
        List<Boolean> results = new CopyOnWriteArrayList<>();
        Thread second = new Thread(() -> results.add(mStop.stop()));
        mParts.mInFlight = millis -> 1;
        mParts.mAtHandover =
                () -> {
                    second.start();
                    while (second.getState() != Thread.State.WAITING
                            && second.getState() != Thread.State.TERMINATED) {
                        Thread.yield();
                    }
                    assertThat(results).as("results while the first stop runs").isEmpty();
                };
        assertThat(mStop.stop()).isFalse();
        second.join();
        assertThat(results).containsExactly(false);
    }

    /** Guards against a look at the state that reads "leaving" with an earlier time. */
    @Example
    void drainIsNotCompleteAtItsBeginning() {
        mTime.advance(Duration.ofHours(1));
        List<DrainState> seen = new ArrayList<>();
        AtomicReference<PlannedStop> stop = new AtomicReference<>();
        TimeSource lookingTime =
                (TimeSource)
                        Proxy.newProxyInstance(
                                TimeSource.class.getClassLoader(),
                                new Class<?>[] {TimeSource.class},
                                (proxy, method, arguments) -> {
                                    PlannedStop looked = stop.getAndSet(null);
                                    if (looked != null) {
                                        seen.add(looked.state());
                                    }
                                    return method.invoke(mTime, arguments);
                                });
        PlannedStop drained =
                new PlannedStop(
                        mParts,
                        lookingTime,
                        Timeline.NONE,
                        LOOKUP_LIFETIME,
                        DRAIN_TIMEOUT,
                        mTime::advance);
        stop.set(drained);
        drained.drain();
        assertThat(seen).containsExactly(DrainState.SERVING);
        assertThat(drained.state()).isEqualTo(DrainState.LEAVING);
    }

    /** Guards against an instance that stops while look-ups return it again. */
    @Example
    void cancelledDrainDoesNotTakeBackTheLeavingFlagOfStop() throws InterruptedException {
        for (int round = 0; round < 2_000; round++) {
            RecordingParts parts = new RecordingParts();
            PlannedStop stop =
                    new PlannedStop(
                            parts,
                            mTime,
                            Timeline.NONE,
                            LOOKUP_LIFETIME,
                            DRAIN_TIMEOUT,
                            mTime::advance);
            CountDownLatch cancelling = new CountDownLatch(1);
            Thread cancel =
                    new Thread(
                            () -> {
                                while (stop.undrain()) {
                                    cancelling.countDown();
                                }
                            });
            cancel.start();
            cancelling.await();
            stop.stop();
            cancel.join();
            assertThat(parts.mLeaving).as("round %s", round).isTrue();
        }
    }

    private final class RecordingParts implements StoppableParts {

        private final List<String> mSteps = new ArrayList<>();
        private LongUnaryOperator mInFlight = millis -> 0;
        private boolean mAccepted = true;
        private boolean mRequestBeginsAtDecision;
        private long mInFlightAtHandover;
        private Runnable mAtHandover = () -> {};
        private boolean mLeaving;
        private long mRefusingSinceMillis;

        @Override
        public void setLeaving(boolean leaving) {
            mLeaving = leaving;
            mSteps.add(leaving ? "leaving" : "staying");
        }

        @Override
        public long inFlight() {
            return mInFlight.applyAsLong(millis());
        }

        @Override
        public boolean refuseNewRequestsIfIdle() {
            beginRequestAtDecision();
            if (inFlight() > 0) {
                return false;
            }
            refuseNewRequests();
            return true;
        }

        @Override
        public void refuseNewRequests() {
            beginRequestAtDecision();
            mRefusingSinceMillis = millis();
            mSteps.add("refuse");
        }

        @Override
        public boolean handOverOutcomes(Duration timeout) {
            mInFlightAtHandover = inFlight();
            mAtHandover.run();
            mSteps.add("outcomes");
            return mAccepted;
        }

        @Override
        public boolean returnAllotments(Duration timeout) {
            mSteps.add("allotments");
            return mAccepted;
        }

        private void beginRequestAtDecision() {
            if (mRequestBeginsAtDecision) {
                mRequestBeginsAtDecision = false;
                long end = millis() + 500;
                mInFlight = millis -> millis < end ? 1 : 0;
            }
        }

        private long millis() {
            return mTime.monotonicNanos() / 1_000_000;
        }
    }
}
