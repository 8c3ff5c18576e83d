package io.masticpond.core.timeline;

import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.api.Assertions;

class HybridLogicalClockProperties {

    private static final Instant START = Instant.parse("2026-12-02T06:00:00Z");

    @Property(seed = "20261202")
    void timesIncreaseDespiteWallClockSteps(
            @ForAll @Size(max = 60)
                    List<@IntRange(min = -5_000_000, max = 5_000_000) Integer> steps) {
        ManualTimeSource time = new ManualTimeSource(START);
        HybridLogicalClock clock = new HybridLogicalClock(time);
        HybridTime last = clock.now();
        for (int step : steps) {
            time.stepWallClock(Duration.ofMillis(step));
            HybridTime next = clock.now();
            Assertions.assertThat(next).isGreaterThan(last);
            last = next;
        }
    }

    @Property(seed = "20261202")
    void receiptIsLaterThanSendingDespiteClockDifferences(
            @ForAll @IntRange(min = -9_999, max = 9_999) int offsetMillis) {
        ManualTimeSource here = new ManualTimeSource(START);
        ManualTimeSource there = new ManualTimeSource(START.plusMillis(offsetMillis));
        HybridLogicalClock receiver = new HybridLogicalClock(here);
        HybridTime sent = new HybridLogicalClock(there).now();
        HybridTime received = receiver.merge(sent);
        Assertions.assertThat(received).isGreaterThan(sent);
        Assertions.assertThat(receiver.now()).isGreaterThan(received);
    }

    @Example
    void remoteTimeTooFarAheadIsNotMerged() {
        ManualTimeSource time = new ManualTimeSource(START);
        HybridLogicalClock clock = new HybridLogicalClock(time, Duration.ofSeconds(10));
        HybridTime before = clock.now();
        HybridTime merged = clock.merge(HybridTime.of(START.plusSeconds(86_400).toEpochMilli(), 0));
        Assertions.assertThat(merged).isGreaterThan(before);
        Assertions.assertThat(merged.wallMillis()).isEqualTo(START.toEpochMilli());
        Assertions.assertThat(clock.rejectedRemoteTimes()).isEqualTo(1);
        Assertions.assertThat(clock.leadMillis()).isZero();
    }

    @Example
    void extremeRemoteTimeNeitherOverflowsNorAdvancesClock() {
        HybridLogicalClock clock = new HybridLogicalClock(new ManualTimeSource(START));
        HybridTime merged = clock.merge(new HybridTime(Long.MAX_VALUE));
        Assertions.assertThat(merged.wallMillis()).isEqualTo(START.toEpochMilli());
    }

    @Example
    void counterOverflowCarriesIntoNextMillisecond() {
        HybridLogicalClock clock = new HybridLogicalClock(new ManualTimeSource(START));
        HybridTime last = clock.now();
        for (int event = 0; event < 70_000; event++) {
            HybridTime next = clock.now();
            Assertions.assertThat(next.packed()).isGreaterThan(last.packed());
            last = next;
        }
        Assertions.assertThat(clock.leadMillis()).isEqualTo(1);
    }

    @Example
    void reportsLeadAfterWallClockIsSetBackUntilItCatchesUp() {
        ManualTimeSource time = new ManualTimeSource(START);
        HybridLogicalClock clock = new HybridLogicalClock(time);
        clock.now();
        time.stepWallClock(Duration.ofMinutes(-1));
        clock.now();
        Assertions.assertThat(clock.leadMillis()).isEqualTo(60_000);
        time.advance(Duration.ofMinutes(2));
        clock.now();
        Assertions.assertThat(clock.leadMillis()).isZero();
    }
}
