package io.masticpond.core.freshness;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;

class VerificationScheduleTest {

    /** Guards against reads so late that a missed change is not in force within its bound. */
    @Example
    void theFirstInstanceReadsOneSecondBeforeTheBound() {
        assertThat(VerificationSchedule.within(Duration.ofSeconds(2)).readAge(0))
                .isEqualTo(Duration.ofSeconds(1));
        assertThat(VerificationSchedule.within(Duration.ofMillis(4_000)).readAge(0))
                .isEqualTo(Duration.ofSeconds(3));
    }

    /** Guards against a bound that leaves no time between two reads. */
    @Example
    void shortBoundsCauseNoBusyLoop() {
        assertThat(VerificationSchedule.within(Duration.ofMillis(200)).readAge(0))
                .isEqualTo(Duration.ofMillis(300));
    }

    /** Guards against an order in which the last instances read only after the bound. */
    @Example
    void allInstancesReadWithinTheBoundIfThoseBeforeThemDoNot() {
        Duration bound = Duration.ofSeconds(2);
        VerificationSchedule schedule = VerificationSchedule.within(bound);
        assertThat(schedule.readAge(1)).isGreaterThan(schedule.readAge(0));
        assertThat(schedule.readAge(400)).isLessThan(bound);
    }
}
