package io.masticpond.core.region;

import static io.masticpond.core.region.RegionFixture.AGADIR;
import static io.masticpond.core.region.RegionFixture.CASA;
import static io.masticpond.core.region.RegionFixture.FES;
import static io.masticpond.core.region.RegionFixture.SERVICE;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Regions that are lost, return cold, or come and go. */
final class RegionReturnTest {

    private static final Duration WORK = Duration.ofMillis(40);
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Example
    void rampsInTheTrafficThatMovesToColdRegion() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(8);
        scene.mSelector.setReachable(SERVICE, CASA, false);
        scene.mSelector.setReachable(SERVICE, AGADIR, false);
        RegionChoiceStatistics first = scene.run(SECOND, 400, WORK, () -> scene.reportAll(8));
        RegionChoiceStatistics second = scene.run(SECOND, 400, WORK, () -> scene.reportAll(8));
        RegionChoiceStatistics fifth =
                scene.run(Duration.ofSeconds(5), 400, WORK, () -> scene.reportAll(8));
        assertThat(first.count(FES) < 100).as("first second: " + first.count(FES)).isTrue();
        assertThat(second.count(FES) > first.count(FES))
                .as("second: " + second.count(FES))
                .isTrue();
        assertThat(second.count(FES) < 3 * first.count(FES))
                .as("second: " + second.count(FES))
                .isTrue();
        assertThat(fifth.count(FES) > 1000)
                .as("three to seven seconds: " + fifth.count(FES))
                .isTrue();
        assertThat(first.refused() > 0).as("the rest must be refused, not queued").isTrue();
    }

    @Example
    void returnsSlowlyToItsOwnRegionAfterLoss() {
        RegionFixture scene = RegionFixture.plain();
        scene.mSelector.setReachable(SERVICE, CASA, false);
        scene.run(Duration.ofSeconds(10), 200, WORK, () -> scene.reportAll(8));
        scene.mSelector.setReachable(SERVICE, CASA, true);
        RegionChoiceStatistics held =
                scene.run(Duration.ofMillis(900), 200, WORK, () -> scene.reportAll(8));
        assertThat(held.count(CASA)).as("a region that just came back is used last").isLessThan(4);
        RegionChoiceStatistics first = scene.run(SECOND, 200, WORK, () -> scene.reportAll(8));
        assertThat(first.count(CASA) > 0 && first.count(CASA) < 150)
                .as("" + first.count(CASA))
                .isTrue();
        assertThat(first.refused()).as("the rest goes where it went before").isEqualTo(0);
        scene.run(Duration.ofSeconds(10), 200, WORK, () -> scene.reportAll(8));
        RegionChoiceStatistics later = scene.run(SECOND, 200, WORK, () -> scene.reportAll(8));
        assertThat(later.count(CASA)).isEqualTo(200);
    }

    @Example
    void doesNotFollowRegionThatComesAndGoes() {
        RegionFixture scene = new RegionFixture(Map.of(CASA, 9L, FES, 1L, AGADIR, 9L), 0);
        int[] tick = {0};
        Runnable flap =
                () -> {
                    tick[0]++;
                    if (tick[0] % 200 == 0) {
                        scene.mSelector.setReachable(SERVICE, FES, (tick[0] / 200) % 2 == 0);
                    }
                    scene.reportAll(8);
                };
        scene.run(Duration.ofSeconds(20), 200, WORK, flap);
        RegionChoiceStatistics tally = scene.run(Duration.ofSeconds(40), 200, WORK, flap);
        assertThat(tally.changes() <= 8).as("changes: " + tally.changes()).isTrue();
        assertThat(tally.refused()).isEqualTo(0);
    }

    @Example
    void usesRegionThatJustCameBackWhenThereIsNoOther() {
        RegionFixture scene = RegionFixture.plain();
        scene.mSelector.setReachable(SERVICE, FES, false);
        scene.mSelector.setReachable(SERVICE, AGADIR, false);
        scene.mSelector.setReachable(SERVICE, CASA, false);
        scene.mSelector.setReachable(SERVICE, CASA, true);
        assertThat(scene.select().get()).isEqualTo(CASA);
    }

    @Example
    void avoidsRegionWhoseAdmitterBrokeOffOnlyBriefly() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(8);
        RequestHead[] heads = new RequestHead[20];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = scene.request(5);
            assertThat(scene.mSelector.select(heads[i], Set.of()).get()).isEqualTo(CASA);
        }
        for (RequestHead head : heads) {
            scene.mSelector.ended(head, CASA, RegionAttemptOutcome.LOST);
        }
        assertThat(scene.select().get()).isEqualTo(FES);
        scene.mTime.advance(Duration.ofMillis(30));
        assertThat(scene.select().get()).as("the next admitter takes over at once").isEqualTo(CASA);
    }

    @Example
    void pausesLongerAfterEachRefusalOnOldHeadroom() {
        RegionFixture scene = RegionFixture.plain();
        scene.mSelector.setReachable(SERVICE, CASA, false);
        scene.mSelector.setReachable(SERVICE, AGADIR, false);
        int attempts = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            RequestHead head = scene.request(5);
            if (scene.mSelector.select(head, Set.of()).isRight()) {
                attempts++;
                scene.mSelector.ended(head, FES, RegionAttemptOutcome.REFUSED);
            }
            scene.mTime.advance(Duration.ofMillis(1));
        }
        assertThat(attempts > 5 && attempts < 25).as("attempts: " + attempts).isTrue();
    }

    @Example
    void goesOnAloneWhenItsRegionIsCutOff() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(8);
        scene.mSelector.setReachable(SERVICE, FES, false);
        scene.mSelector.setReachable(SERVICE, AGADIR, false);
        scene.report(CASA, 40, Duration.ofMillis(100));
        assertThat(scene.select().get()).isEqualTo(CASA);
        scene.report(CASA, 40, Duration.ofSeconds(5));
        Refusal refusal = scene.select().getLeft();
        assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_CAPACITY);
        assertThat(refusal.retryAfter().isEmpty()).isFalse();
    }

    @Example
    void keepsWhatItKnowsOverChangeOfConfiguration() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(8);
        scene.mSelector.setReachable(SERVICE, CASA, false);
        RequestHead head = scene.request(5);
        assertThat(scene.mSelector.select(head, Set.of()).get()).isEqualTo(FES);
        scene.mSelector.configure(RegionFixture.configuration(Map.of(FES, 3L), 0));
        assertThat(scene.mSelector.status().stream().mapToInt(RegionStatus::inFlight).sum())
                .isEqualTo(1);
        assertThat(scene.select().get()).as("casa is still lost").isNotEqualTo(CASA);
        scene.mSelector.ended(head, FES, RegionAttemptOutcome.ANSWERED);
        assertThat(scene.mSelector.status().stream().mapToInt(RegionStatus::inFlight).sum())
                .isEqualTo(1);
    }
}
