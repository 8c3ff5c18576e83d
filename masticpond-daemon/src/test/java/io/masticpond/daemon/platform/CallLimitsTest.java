package io.masticpond.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.daemon.platform.CallBudget.Priority;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;
import org.apache.commons.rng.simple.RandomSource;

/** Tests call budget, backoff, circuit breaker and endpoints with a manual clock. */
class CallLimitsTest {

    private static final Duration BASE = Duration.ofMillis(100);
    private static final Duration MAXIMUM = Duration.ofSeconds(2);

    private final ManualTimeSource mTime = new ManualTimeSource(Instant.EPOCH);

    @Example
    void budgetReservesCallsForWrites() {
        CallBudget budget = new CallBudget(mTime, 20);
        assertThat(acquireAll(budget, Priority.ORDINARY)).isEqualTo(15);
        assertThat(acquireAll(budget, Priority.URGENT)).isEqualTo(5);
        mTime.advance(Duration.ofMillis(100));
        assertThat(acquireAll(budget, Priority.URGENT)).isEqualTo(2);
    }

    @Example
    void smallestBudgetStillPermitsReads() {
        CallBudget budget = new CallBudget(mTime, 1);
        assertThat(acquireAll(budget, Priority.ORDINARY)).isEqualTo(1);
        mTime.advance(Duration.ofSeconds(1));
        assertThat(acquireAll(budget, Priority.ORDINARY)).isEqualTo(1);
    }

    @Property(tries = 200, seed = "11")
    void callsInAnyIntervalStayWithinBudget(
            @ForAll @IntRange(min = 1, max = 500) int rate,
            @ForAll @IntRange(min = 1, max = 50) int steps,
            @ForAll @LongRange(min = 0, max = 300) long stepMillis) {
        CallBudget budget = new CallBudget(mTime, rate);
        int acquired = 0;
        for (int step = 0; step < steps; step++) {
            acquired += acquireAll(budget, Priority.URGENT);
            mTime.advance(Duration.ofMillis(stepMillis));
        }
        double allowed = rate + rate * (steps - 1) * stepMillis / 1_000.0;
        assertThat((double) acquired).isLessThanOrEqualTo(allowed + 1e-6);
    }

    @Property(tries = 500, seed = "12")
    void delaysStayWithinTheirBounds(
            @ForAll @IntRange(min = 1, max = 100) int failures, @ForAll long seed) {
        Duration delay = backoff(seed).delay(failures);
        long bound = BASE.toNanos() << Math.min(failures - 1, 20);
        assertThat(delay).isBetween(BASE.dividedBy(2), MAXIMUM);
        assertThat(delay.toNanos()).isLessThanOrEqualTo(bound);
    }

    @Example
    void delaysOfManyCallersDiffer() {
        long distinct =
                java.util.stream.LongStream.range(0, 100)
                        .map(seed -> backoff(seed).delay(4).toMillis() / 10)
                        .distinct()
                        .count();
        assertThat(distinct).isGreaterThan(30);
    }

    @Example
    void theBreakerOpensAndOneProbeClosesIt() {
        Breaker breaker = breaker();
        failTimes(breaker, 3);
        assertThat(breaker.state()).isEqualTo(Breaker.State.OPEN);
        assertThat(breaker.tryAcquirePermission()).isFalse();
        mTime.advance(BASE);
        assertThat(breaker.tryAcquirePermission()).isTrue();
        assertThat(breaker.tryAcquirePermission()).isFalse();
        breaker.recordSuccess();
        assertThat(breaker.tryAcquirePermission()).isTrue();
        assertThat(breaker.state()).isEqualTo(Breaker.State.CLOSED);
    }

    @Example
    void oneSuccessAmongFailuresKeepsTheBreakerClosed() {
        Breaker breaker = breaker();
        failTimes(breaker, 2);
        breaker.recordSuccess();
        failTimes(breaker, 2);
        assertThat(breaker.state()).isEqualTo(Breaker.State.CLOSED);
    }

    @Example
    void probesThatFailOpenTheBreakerForLonger() {
        Breaker breaker = breaker();
        failTimes(breaker, 3);
        mTime.advance(BASE);
        assertThat(breaker.tryAcquirePermission()).isTrue();
        breaker.recordFailure();
        assertThat(breaker.tryAcquirePermission()).isFalse();
        mTime.advance(MAXIMUM);
        assertThat(breaker.tryAcquirePermission()).isTrue();
    }

    @Example
    void probeWithoutResultDoesNotKeepBreakerOpen() {
        Breaker breaker = breaker();
        failTimes(breaker, 3);
        mTime.advance(BASE);
        assertThat(breaker.tryAcquirePermission()).isTrue();
        mTime.advance(MAXIMUM);
        assertThat(breaker.tryAcquirePermission()).isTrue();
    }

    @Example
    void failuresSwitchToNextAddressAndOutageStopsCalls() {
        Endpoints endpoints = new Endpoints(List.of("first", "second"), this::breaker);
        assertThat(endpoints.choose().orElseThrow().address()).isEqualTo("first");
        endpoints.recordFailure(endpoints.all().get(0));
        assertThat(endpoints.choose().orElseThrow().address()).isEqualTo("second");
        for (Endpoints.Endpoint endpoint : endpoints.all()) {
            failTimes(endpoint.breaker(), 3);
        }
        assertThat(endpoints.choose()).isEmpty();
    }

    private Breaker breaker() {
        return new Breaker(mTime, 3, backoff(1));
    }

    private static Backoff backoff(long seed) {
        return new Backoff(BASE, MAXIMUM, RandomSource.XO_RO_SHI_RO_128_PP.create(seed));
    }

    private static void failTimes(Breaker breaker, int times) {
        for (int time = 0; time < times; time++) {
            breaker.recordFailure();
        }
    }

    private static int acquireAll(CallBudget budget, Priority priority) {
        int acquired = 0;
        while (budget.tryAcquire(priority)) {
            acquired++;
        }
        return acquired;
    }
}
