package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.simple.RandomSource;

/** Guards against refused clients that return in a burst, out of order or later than they wait. */
class ReturnScheduleTest {

    private static final long MILLI = 1_000_000L;
    private static final Duration MINIMUM_PAUSE = Duration.ofMillis(50);

    @Example
    void clientsReturnTogether() {
        ReturnSchedule schedule = schedule(1);
        long previous = 0;
        int inOrder = 0;
        int[] perTenth = new int[20];
        for (int client = 0; client < 200; client++) {
            long pause = schedule.assign(0, 20, 6_000 * MILLI, 0);
            assertThat(pause).isBetween(50 * MILLI, 2_000 * MILLI);
            perTenth[(int) (pause / (100 * MILLI)) % perTenth.length]++;
            inOrder += pause > previous && inOrder == client ? 1 : 0;
            previous = pause;
        }
        assertThat(inOrder).as("clients with a time of their own").isBetween(38, 41);
        for (int tenth = 0; tenth < 12; tenth++) {
            assertThat(perTenth[tenth]).as("returns at 20 per second").isBetween(1, 3);
        }
        for (int tenth = 13; tenth < perTenth.length; tenth++) {
            assertThat(perTenth[tenth]).as("those without capacity are spread").isLessThan(40);
        }
    }

    @Property(seed = "4", tries = 500)
    void pauseIsNeverBeyondThirdOfTimeLeft(
            @ForAll @LongRange(min = 0, max = 20_000_000_000L) long left,
            @ForAll @LongRange(min = 0, max = 20_000_000_000L) long earliest,
            @ForAll @DoubleRange(min = 0, max = 1000) double rate) {
        ReturnSchedule schedule = schedule(left);
        for (int client = 0; client < 5; client++) {
            assertThat(schedule.assign(earliest, rate, left, 0)).isBetween(0L, left / 3);
        }
    }

    @Example
    void withdrawnTimeIsAssignedAgain() {
        ReturnSchedule schedule = schedule(1);
        schedule.assign(0, 10, 6_000 * MILLI, 0);
        schedule.assign(0, 10, 6_000 * MILLI, 0);
        schedule.withdrawLast();
        assertThat(schedule.assign(0, 10, 6_000 * MILLI, 0)).isBetween(150 * MILLI, 184 * MILLI);
    }

    private static ReturnSchedule schedule(long seed) {
        return new ReturnSchedule(MINIMUM_PAUSE, RandomSource.SPLIT_MIX_64.create(seed), 0);
    }
}
