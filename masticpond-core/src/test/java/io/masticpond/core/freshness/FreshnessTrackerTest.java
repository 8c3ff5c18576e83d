package io.masticpond.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.core.time.Moment;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Proofs only ever look as old as they are, or older. */
class FreshnessTrackerTest {

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);
    private final FreshnessTracker mKeeper = new FreshnessTracker();

    private Moment now() {
        return Moment.of(mTime);
    }

    private long ageMillis() {
        return TimeUnit.NANOSECONDS.toMillis(mKeeper.youngestProof().orElseThrow().ageNanos(now()));
    }

    private void prove(long revision) {
        mKeeper.addProof(new FreshnessProof(now(), revision), now());
    }

    @Example
    void proofOfWhatIsNotInForceHereWaits() {
        mKeeper.onRevisionApplied(4, now());
        prove(5);
        assertThat(mKeeper.youngestProof()).isEmpty();
        mTime.advance(Duration.ofMillis(300));
        mKeeper.onRevisionApplied(5, now());
        assertThat(ageMillis()).isEqualTo(300);
    }

    @Example
    void proofHeardLateDoesNotReplaceYoungerOne() {
        mKeeper.onRevisionApplied(5, now());
        Moment early = now();
        mTime.advance(Duration.ofSeconds(2));
        prove(5);
        mKeeper.addProof(new FreshnessProof(early, 5), now());
        assertThat(ageMillis()).isZero();
    }

    @Example
    void suspensionCounts() {
        mKeeper.onRevisionApplied(5, now());
        prove(5);
        mTime.stepWallClock(Duration.ofSeconds(7));
        assertThat(ageMillis()).isEqualTo(7_000);
    }

    @Example
    void wallClockThatIsSetBackMakesNoProofYounger() {
        mKeeper.onRevisionApplied(5, now());
        prove(5);
        mTime.advance(Duration.ofSeconds(3));
        mTime.stepWallClock(Duration.ofSeconds(-3));
        assertThat(ageMillis()).isEqualTo(3_000);
    }

    @Example
    void secondOfRegionReadsOnlyWhenTheFirstHasNot() {
        mKeeper.onRevisionApplied(5, now());
        prove(5);
        mTime.advance(FreshnessTracker.RENEWAL_AGE);
        assertThat(mKeeper.mustReadStore(1, now())).as("the first does").isFalse();
        mTime.advance(Duration.ofSeconds(1));
        assertThat(mKeeper.mustReadStore(1, now())).as("the first has not").isTrue();
    }

    @Example
    void lostStoreIsNotAskedWithoutPause() {
        int reads = 0;
        for (int look = 0; look < 100; look++) {
            mTime.advance(Duration.ofMillis(100));
            reads += mKeeper.mustReadStore(3, now()) ? 1 : 0;
        }
        assertThat(reads).isLessThanOrEqualTo(5);
    }
}
