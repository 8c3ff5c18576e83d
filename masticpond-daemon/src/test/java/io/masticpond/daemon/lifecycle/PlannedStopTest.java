package io.masticpond.daemon.lifecycle;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.timeline.Timeline;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
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

    private final class RecordingParts implements StoppableParts {

        private final List<String> mSteps = new ArrayList<>();
        private LongUnaryOperator mInFlight = millis -> 0;
        private boolean mAccepted = true;
        private boolean mRequestBeginsAtDecision;
        private long mInFlightAtHandover;
        private long mRefusingSinceMillis;

        @Override
        public void setLeaving(boolean leaving) {
            mSteps.add(leaving ? "leaving" : "staying");
        }

        @Override
        public long inFlight() {
            return mInFlight.applyAsLong(millis());
        }

        @Override
        public boolean refuseNewRequestsIfIdle() {
            if (mRequestBeginsAtDecision) {
                mRequestBeginsAtDecision = false;
                long end = millis() + 500;
                mInFlight = millis -> millis < end ? 1 : 0;
            }
            if (inFlight() > 0) {
                return false;
            }
            refuseNewRequests();
            return true;
        }

        @Override
        public void refuseNewRequests() {
            mRefusingSinceMillis = millis();
            mSteps.add("refuse");
        }

        @Override
        public boolean handOverOutcomes(Duration timeout) {
            mInFlightAtHandover = inFlight();
            mSteps.add("outcomes");
            return mAccepted;
        }

        @Override
        public boolean returnAllotments(Duration timeout) {
            mSteps.add("allotments");
            return mAccepted;
        }

        private long millis() {
            return mTime.monotonicNanos() / 1_000_000;
        }
    }
}
