package io.masticpond.core.region;

import static io.masticpond.core.region.RegionFixture.AGADIR;
import static io.masticpond.core.region.RegionFixture.CASA;
import static io.masticpond.core.region.RegionFixture.FES;
import static io.masticpond.core.region.RegionFixture.SERVICE;
import static io.masticpond.core.region.RegionFixture.SLOTS;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/** Choice of regions under failure. */
final class DefaultRegionSelectorTest {

    private static final Duration WORK = Duration.ofMillis(40);

    @Example
    void spillsOnlyOnceQueueingCostsMoreThanTheDistance() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(10);
        scene.report(CASA, SLOTS, Duration.ofMillis(35));
        assertThat(scene.select().get())
                .as("35 ms of queue cost less than 40 ms of travel")
                .isEqualTo(CASA);
        scene.report(CASA, SLOTS, Duration.ofMillis(45));
        assertThat(scene.select().get()).isEqualTo(FES);
    }

    @Example
    void skipsTriedRegionsAndRefusesTruthfullyAfterTheLast() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(10);
        RequestHead head = scene.request(5);
        assertThat(scene.mSelector.select(head, Set.of(CASA)).get()).isEqualTo(FES);
        assertThat(scene.mSelector.select(head, Set.of(CASA, FES)).get()).isEqualTo(AGADIR);
        Refusal refusal = scene.mSelector.select(head, Set.of(CASA, FES, AGADIR)).getLeft();
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_CAPACITY);
        assertThat(refusal.retryAfter().isPresent()).isTrue();
    }

    @Example
    void goesToTheCheaperRegionOnlyWhileItIsRoomyAndFastEnough() {
        RegionFixture scene = new RegionFixture(Map.of(CASA, 9L, FES, 5L, AGADIR, 9L), 0);
        scene.reportAll(5);
        assertThat(scene.select().get()).isEqualTo(FES);
        scene.report(FES, 35, Duration.ZERO);
        assertThat(scene.select().get())
                .as("price must not fill a region's last slots")
                .isEqualTo(CASA);
        scene.report(FES, 5, Duration.ZERO);
        RequestHead hasty =
                new RequestHead(
                        scene.request(5).id(),
                        SERVICE,
                        scene.mTime.monotonicNanos() + Duration.ofMillis(60).toNanos(),
                        5,
                        OperationKind.READ);
        assertThat(scene.mSelector.select(hasty, Set.of()).get()).isEqualTo(CASA);
    }

    @Example
    void takesTheNearestOnPriceTieEveryTime() {
        RegionFixture scene = new RegionFixture(Map.of(CASA, 7L, FES, 7L, AGADIR, 7L), 0);
        RegionChoiceStatistics tally =
                scene.run(Duration.ofSeconds(5), 200, WORK, () -> scene.reportAll(8));
        assertThat(tally.changes()).isEqualTo(0);
        assertThat(tally.count(CASA)).isEqualTo(1000);
    }

    @Example
    void keepsToItsShareOfFullLinkAndSaysSo() {
        RegionFixture scene = new RegionFixture(Map.of(), 90);
        scene.mSelector.setReachable(SERVICE, CASA, false);
        scene.mSelector.setReachable(SERVICE, AGADIR, false);
        RegionChoiceStatistics tally =
                scene.run(
                        Duration.ofSeconds(10),
                        200,
                        Duration.ofMillis(2),
                        () -> scene.reportAll(0));
        int share = 90 / 3 * 10;
        assertThat(tally.count(FES) <= share + 3).as("sent " + tally.count(FES)).isTrue();
        assertThat(tally.count(FES) >= share * 0.9).as("sent " + tally.count(FES)).isTrue();
        assertThat(tally.refused()).isEqualTo(2000 - tally.count(FES));
        int burst = 3;
        for (int i = 0; i < burst; i++) {
            scene.select();
        }
        Refusal refusal = scene.select().getLeft();
        assertThat(refusal.cause()).isEqualTo(RefusalCause.LINK_FULL);
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
    }

    @Example
    void refusesTheLowestPriorityFirstWhenAllRegionsAreFull() {
        RegionFixture scene = RegionFixture.plain();
        for (RegionId region : Set.of(CASA, FES, AGADIR)) {
            scene.report(region, SLOTS, Duration.ofMillis(1200));
        }
        int lowestTaken = 10;
        for (int priority = 9; priority >= 0; priority--) {
            Either<Refusal, RegionId> choice =
                    scene.mSelector.select(scene.request(priority), Set.of());
            if (choice.isRight()) {
                assertThat(priority)
                        .as("a lower priority was taken instead")
                        .isEqualTo(lowestTaken - 1);
                lowestTaken = priority;
                continue;
            }
            assertThat(choice.getLeft().cause()).isEqualTo(RefusalCause.NO_CAPACITY);
        }
        assertThat(lowestTaken > 0 && lowestTaken < 10).as("lowest taken " + lowestTaken).isTrue();
    }

    @Example
    void degradesStepByStepWhenMeasurementsStop() {
        RegionFixture scene = RegionFixture.plain();
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.FAIR_SHARE);
        scene.reportAll(10);
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        scene.mTime.advance(Duration.ofSeconds(2));
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.STALE);
        scene.mTime.advance(Duration.ofSeconds(4));
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.FAIR_SHARE);
        scene.mSelector.setReachable(SERVICE, CASA, false);
        RegionChoiceStatistics tally = scene.run(Duration.ofSeconds(20), 400, WORK, () -> {});
        int fairShare = SLOTS / 9;
        long most = Duration.ofSeconds(20).dividedBy(WORK) * fairShare;
        assertThat(tally.count(FES) <= most).as(tally.count(FES) + " of at most " + most).isTrue();
        assertThat(tally.count(FES) >= most * 0.8)
                .as(tally.count(FES) + " of at most " + most)
                .isTrue();
    }

    @Example
    void takesNothingFromTheWallClock() {
        RegionFixture scene = RegionFixture.plain();
        scene.reportAll(10);
        scene.mTime.stepWallClock(Duration.ofHours(-3));
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        assertThat(scene.select().get()).isEqualTo(CASA);
        scene.mTime.stepWallClock(Duration.ofHours(9));
        assertThat(scene.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        assertThat(scene.select().get()).isEqualTo(CASA);
    }

    @Example
    void refusesWhatItCannotServe() {
        RegionFixture scene = RegionFixture.plain();
        RequestHead late = scene.request(5);
        scene.mTime.advance(RegionFixture.DEADLINE);
        assertThat(scene.mSelector.select(late, Set.of()).getLeft().cause())
                .isEqualTo(RefusalCause.DEADLINE);
        RequestHead unknown =
                new RequestHead(
                        late.id(), new ServiceId("none"), Long.MAX_VALUE, 5, OperationKind.READ);
        assertThat(scene.mSelector.select(unknown, Set.of()).getLeft().cause())
                .isEqualTo(RefusalCause.NOT_FOUND);
        for (RegionId region : Set.of(CASA, FES, AGADIR)) {
            scene.mSelector.setReachable(SERVICE, region, false);
        }
        assertThat(scene.select().getLeft().cause()).isEqualTo(RefusalCause.NO_BACKEND_SERVER);
    }
}
