package io.masticpond.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.Moment;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests of {@link FreshnessTracker}: a proof never appears more recent than it is. */
class FreshnessTrackerTest {

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final FreshnessTracker mTracker = new FreshnessTracker();

    private Moment now() {
        return Moment.of(mTime);
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(
                mTracker.youngestProof().orElseThrow().ageNanos(now()));
    }

    private void prove(long revision) {
        mTracker.addProof(new FreshnessProof(now(), revision), now());
    }

    @Example
    void proofOfRevisionThatIsNotInForceIsPending() {
        mTracker.onRevisionApplied(4, now());
        prove(5);
        assertThat(mTracker.youngestProof()).isEmpty();
        mTime.advance(Duration.ofMillis(300));
        mTracker.onRevisionApplied(5, now());
        assertThat(ageMillis()).isEqualTo(300);
    }

    @Example
    void proofReceivedLateDoesNotReplaceMoreRecentProof() {
        mTracker.onRevisionApplied(5, now());
        Moment early = now();
        mTime.advance(Duration.ofSeconds(2));
        prove(5);
        mTracker.addProof(new FreshnessProof(early, 5), now());
        assertThat(ageMillis()).isZero();
    }

    @Example
    void suspensionOfMachineIncreasesAge() {
        mTracker.onRevisionApplied(5, now());
        prove(5);
        mTime.stepWallClock(Duration.ofSeconds(7));
        assertThat(ageMillis()).isEqualTo(7_000);
    }

    @Example
    void settingWallClockBackDoesNotReduceAge() {
        mTracker.onRevisionApplied(5, now());
        prove(5);
        mTime.advance(Duration.ofSeconds(3));
        mTime.stepWallClock(Duration.ofSeconds(-3));
        assertThat(ageMillis()).isEqualTo(3_000);
    }

    @Example
    void secondInstanceOfRegionReadsOnlyWhenFirstHasNot() {
        mTracker.onRevisionApplied(5, now());
        prove(5);
        mTime.advance(FreshnessTracker.RENEWAL_AGE);
        assertThat(mTracker.mustReadStore(1, now())).as("the first instance reads").isFalse();
        mTime.advance(Duration.ofSeconds(1));
        assertThat(mTracker.mustReadStore(1, now())).as("the first instance has not read").isTrue();
    }

    @Example
    void unavailableStoreIsNotReadWithoutPause() {
        int reads = 0;
        for (int attempt = 0; attempt < 100; attempt++) {
            mTime.advance(Duration.ofMillis(100));
            reads += mTracker.mustReadStore(3, now()) ? 1 : 0;
        }
        assertThat(reads).isLessThanOrEqualTo(5);
    }
}
