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

/** Tests regions that are lost, return cold or flap. */
final class RegionReturnTest {

    private static final Duration WORK = Duration.ofMillis(40);
    private static final Duration SECOND = Duration.ofSeconds(1);

    @Example
    void rampsTrafficToColdRegion() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(8);
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        fixture.mSelector.setReachable(SERVICE, AGADIR, false);
        RegionChoiceStatistics first = fixture.run(SECOND, 400, WORK, () -> fixture.reportAll(8));
        RegionChoiceStatistics second = fixture.run(SECOND, 400, WORK, () -> fixture.reportAll(8));
        RegionChoiceStatistics fifth =
                fixture.run(Duration.ofSeconds(5), 400, WORK, () -> fixture.reportAll(8));
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
    void returnsGraduallyToOwnRegionAfterLoss() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        fixture.run(Duration.ofSeconds(10), 200, WORK, () -> fixture.reportAll(8));
        fixture.mSelector.setReachable(SERVICE, CASA, true);
        RegionChoiceStatistics held =
                fixture.run(Duration.ofMillis(900), 200, WORK, () -> fixture.reportAll(8));
        assertThat(held.count(CASA)).as("a held-down region is used last").isLessThan(4);
        RegionChoiceStatistics first = fixture.run(SECOND, 200, WORK, () -> fixture.reportAll(8));
        assertThat(first.count(CASA) > 0 && first.count(CASA) < 150)
                .as("" + first.count(CASA))
                .isTrue();
        assertThat(first.refused()).as("the rest still goes to the other regions").isEqualTo(0);
        fixture.run(Duration.ofSeconds(10), 200, WORK, () -> fixture.reportAll(8));
        RegionChoiceStatistics later = fixture.run(SECOND, 200, WORK, () -> fixture.reportAll(8));
        assertThat(later.count(CASA)).isEqualTo(200);
    }

    @Example
    void doesNotFollowFlappingRegion() {
        RegionFixture fixture = new RegionFixture(Map.of(CASA, 9L, FES, 1L, AGADIR, 9L), 0);
        int[] tick = {0};
        Runnable flap =
                () -> {
                    tick[0]++;
                    if (tick[0] % 200 == 0) {
                        fixture.mSelector.setReachable(SERVICE, FES, (tick[0] / 200) % 2 == 0);
                    }
                    fixture.reportAll(8);
                };
        fixture.run(Duration.ofSeconds(20), 200, WORK, flap);
        RegionChoiceStatistics statistics = fixture.run(Duration.ofSeconds(40), 200, WORK, flap);
        assertThat(statistics.changes() <= 8).as("changes: " + statistics.changes()).isTrue();
        assertThat(statistics.refused()).isEqualTo(0);
    }

    @Example
    void usesHeldDownRegionWhenThereIsNoOther() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.mSelector.setReachable(SERVICE, FES, false);
        fixture.mSelector.setReachable(SERVICE, AGADIR, false);
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        fixture.mSelector.setReachable(SERVICE, CASA, true);
        assertThat(fixture.select().get()).isEqualTo(CASA);
    }

    @Example
    void avoidsRegionOnlyBrieflyAfterLostAdmitter() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(8);
        RequestHead[] heads = new RequestHead[20];
        for (int i = 0; i < heads.length; i++) {
            heads[i] = fixture.request(5);
            assertThat(fixture.mSelector.select(heads[i], Set.of()).get()).isEqualTo(CASA);
        }
        for (RequestHead head : heads) {
            fixture.mSelector.recordOutcome(head, CASA, RegionAttemptOutcome.LOST);
        }
        assertThat(fixture.select().get()).isEqualTo(FES);
        fixture.mTime.advance(Duration.ofMillis(30));
        assertThat(fixture.select().get())
                .as("the next admitter takes over at once")
                .isEqualTo(CASA);
    }

    @Example
    void backsOffLongerAfterEachRefusalOnStaleHeadroom() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        fixture.mSelector.setReachable(SERVICE, AGADIR, false);
        int attempts = 0;
        for (int millis = 0; millis < 10_000; millis++) {
            RequestHead head = fixture.request(5);
            if (fixture.mSelector.select(head, Set.of()).isRight()) {
                attempts++;
                fixture.mSelector.recordOutcome(head, FES, RegionAttemptOutcome.REFUSED);
            }
            fixture.mTime.advance(Duration.ofMillis(1));
        }
        assertThat(attempts > 5 && attempts < 25).as("attempts: " + attempts).isTrue();
    }

    @Example
    void servesOwnRegionWhenPartitioned() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(8);
        fixture.mSelector.setReachable(SERVICE, FES, false);
        fixture.mSelector.setReachable(SERVICE, AGADIR, false);
        fixture.report(CASA, 40, Duration.ofMillis(100));
        assertThat(fixture.select().get()).isEqualTo(CASA);
        fixture.report(CASA, 40, Duration.ofSeconds(5));
        Refusal refusal = fixture.select().getLeft();
        assertThat(refusal.cause()).isEqualTo(RefusalCause.NO_CAPACITY);
        assertThat(refusal.retryAfter().isEmpty()).isFalse();
    }

    @Example
    void keepsRegionStateAcrossConfigurationChange() {
        RegionFixture fixture = RegionFixture.withDefaults();
        fixture.reportAll(8);
        fixture.mSelector.setReachable(SERVICE, CASA, false);
        RequestHead head = fixture.request(5);
        assertThat(fixture.mSelector.select(head, Set.of()).get()).isEqualTo(FES);
        fixture.mSelector.configure(RegionFixture.configuration(Map.of(FES, 3L), 0));
        assertThat(fixture.mSelector.status().stream().mapToInt(RegionStatus::inFlight).sum())
                .isEqualTo(1);
        assertThat(fixture.select().get()).as("casa is still lost").isNotEqualTo(CASA);
        fixture.mSelector.recordOutcome(head, FES, RegionAttemptOutcome.ANSWERED);
        assertThat(fixture.mSelector.status().stream().mapToInt(RegionStatus::inFlight).sum())
                .isEqualTo(1);
    }
}
