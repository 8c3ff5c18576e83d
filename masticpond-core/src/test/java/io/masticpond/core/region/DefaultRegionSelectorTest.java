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

/** Tests the choice of regions, also under failure. */
final class DefaultRegionSelectorTest {

    private static final Duration WORK = Duration.ofMillis(40);

    @Example
    void spillsOnlyWhenQueueingCostsMoreThanDistance() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(10);
        fixture.report(CASA, SLOTS, Duration.ofMillis(35));
        assertThat(fixture.select().get())
                .as("35 ms of queueing cost less than 40 ms of travel")
                .isEqualTo(CASA);
        fixture.report(CASA, SLOTS, Duration.ofMillis(45));
        assertThat(fixture.select().get()).isEqualTo(FES);
    }

    @Example
    void skipsTriedRegionsAndRefusesTruthfullyAfterTheLast() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(10);
        RequestHead head = fixture.request(5);
        assertThat(fixture.mSelector.select(head, Set.of(CASA)).get()).isEqualTo(FES);
        assertThat(fixture.mSelector.select(head, Set.of(CASA, FES)).get()).isEqualTo(AGADIR);
        Refusal refusal = fixture.mSelector.select(head, Set.of(CASA, FES, AGADIR)).getLeft();
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
        assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_CAPACITY);
        assertThat(refusal.retryAfter().isPresent()).isTrue();
    }

    @Example
    void choosesCheaperRegionOnlyWithSlotReserveAndInTime() {
        RegionFixture fixture = new RegionFixture(Map.of(CASA, 9L, FES, 5L, AGADIR, 9L), 0);
        fixture.reportAll(5);
        assertThat(fixture.select().get()).isEqualTo(FES);
        fixture.report(FES, 35, Duration.ZERO);
        assertThat(fixture.select().get())
                .as("price must not fill a region's last slots")
                .isEqualTo(CASA);
        fixture.report(FES, 5, Duration.ZERO);
        RequestHead shortDeadline =
                new RequestHead(
                        fixture.request(5).id(),
                        SERVICE,
                        fixture.mTime.monotonicNanos() + Duration.ofMillis(60).toNanos(),
                        5,
                        OperationKind.READ);
        assertThat(fixture.mSelector.select(shortDeadline, Set.of()).get()).isEqualTo(CASA);
    }

    @Example
    void choosesNearestRegionOnPriceTie() {
        RegionFixture fixture = new RegionFixture(Map.of(CASA, 7L, FES, 7L, AGADIR, 7L), 0);
        RegionChoiceStatistics statistics =
                fixture.run(Duration.ofSeconds(5), 200, WORK, () -> fixture.reportAll(8));
        assertThat(statistics.changes()).isEqualTo(0);
        assertThat(statistics.count(CASA)).isEqualTo(1000);
    }

    @Example
    void limitsTrafficToShareOfLinkAndReportsFullLink() {
        RegionFixture fixture = new RegionFixture(Map.of(), 90);
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        fixture.mSelector.setReachable(SERVICE, AGADIR, false);
        RegionChoiceStatistics statistics =
                fixture.run(
                        Duration.ofSeconds(10),
                        200,
                        Duration.ofMillis(2),
                        () -> fixture.reportAll(0));
        int share = 90 / 3 * 10;
        assertThat(statistics.count(FES) <= share + 3).as("sent " + statistics.count(FES)).isTrue();
        assertThat(statistics.count(FES) >= share * 0.9)
                .as("sent " + statistics.count(FES))
                .isTrue();
        assertThat(statistics.refused()).isEqualTo(2000 - statistics.count(FES));
        int burst = 3;
        for (int i = 0; i < burst; i++) {
            fixture.select();
        }
        Refusal refusal = fixture.select().getLeft();
        assertThat(refusal.cause()).isEqualTo(RefusalCause.LINK_FULL);
        assertThat(refusal.verdict()).isEqualTo(Verdict.DID_NOT_RUN);
    }

    @Example
    void refusesTheLowestPriorityFirstWhenAllRegionsAreFull() {
        RegionFixture fixture = RegionFixture.withDefaults();
        for (RegionId region : Set.of(CASA, FES, AGADIR)) {
            fixture.report(region, SLOTS, Duration.ofMillis(1200));
        }
        int lowestTaken = 10;
        for (int priority = 9; priority >= 0; priority--) {
            Either<Refusal, RegionId> choice =
                    fixture.mSelector.select(fixture.request(priority), Set.of());
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
        RegionFixture fixture = RegionFixture.withDefaults();
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.FAIR_SHARE);
        fixture.reportAll(10);
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        fixture.mTime.advance(Duration.ofSeconds(2));
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.STALE);
        fixture.mTime.advance(Duration.ofSeconds(4));
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.FAIR_SHARE);
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        RegionChoiceStatistics statistics =
                fixture.run(Duration.ofSeconds(20), 400, WORK, () -> {});
        int fairShare = SLOTS / 9;
        long maximum = Duration.ofSeconds(20).dividedBy(WORK) * fairShare;
        assertThat(statistics.count(FES) <= maximum)
                .as(statistics.count(FES) + " of at most " + maximum)
                .isTrue();
        assertThat(statistics.count(FES) >= maximum * 0.8)
                .as(statistics.count(FES) + " of at most " + maximum)
                .isTrue();
    }

    @Example
    void isIndependentOfWallClock() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(10);
        fixture.mTime.stepWallClock(Duration.ofHours(-3));
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        assertThat(fixture.select().get()).isEqualTo(CASA);
        fixture.mTime.stepWallClock(Duration.ofHours(9));
        assertThat(fixture.mSelector.step(SERVICE, FES)).isEqualTo(DegradationStep.EXACT);
        assertThat(fixture.select().get()).isEqualTo(CASA);
    }

    @Example
    void refusesRequestsThatCannotBeServed() {
        RegionFixture fixture = RegionFixture.withDefaults();
        RequestHead late = fixture.request(5);
        fixture.mTime.advance(RegionFixture.DEADLINE);
        assertThat(fixture.mSelector.select(late, Set.of()).getLeft().cause())
                .isEqualTo(RefusalCause.DEADLINE);
        RequestHead unknown =
                new RequestHead(
                        late.id(), new ServiceId("none"), Long.MAX_VALUE, 5, OperationKind.READ);
        assertThat(fixture.mSelector.select(unknown, Set.of()).getLeft().cause())
                .isEqualTo(RefusalCause.NOT_FOUND);
        for (RegionId region : Set.of(CASA, FES, AGADIR)) {
            fixture.mSelector.setReachable(SERVICE, region, false);
        }
        assertThat(fixture.select().getLeft().cause()).isEqualTo(RefusalCause.NO_BACKEND_SERVER);
    }
}
