package io.masticpond.core.serverlimit;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.serverlimit.LimitFleet.Instance;
import java.util.List;
import net.jqwik.api.Example;

/**
 * Guards against instances that together send a server more than the limit that it states allows:
 * in any 4 s one and a half times the limit and 5 requests, from 3 s after the limit was first
 * stated.
 */
class ServerLimitPatternTest {

    private static final List<Integer> SIZES = List.of(10, 67, 95, 410);
    private static final List<Double> LIMITS = List.of(0.0, 0.5, 2.5, 20.0);
    private static final double DEMAND = 60;
    private static final double INFORMED_SECONDS = 3;
    private static final long SECOND = 1_000_000_000L;

    private static LimitFleet limited(int instances, double limit, long seed) {
        LimitFleet fleet = new LimitFleet(instances, DEMAND, seed);
        fleet.advance(5);
        fleet.setLimit(limit);
        return fleet;
    }

    /**
     * Asserts the bound for informed instances only; as the bound is specified, instances that have
     * just started are exempt until they have been informed.
     */
    private static void assertBoundKeptByInformed(
            LimitFleet fleet, double from, double limit, String description) {
        assertThat(fleet.maximumUseOfInformed(from, limit)).as(description).isLessThanOrEqualTo(1);
    }

    /**
     * Returns the rate that senders use if they lose only the time from a permit to the next
     * request: a permit takes 1 / rate, and the request after it 1 / demand.
     */
    private static double usableRate(int instances, double limit) {
        ServerLimitSettings settings = ServerLimitSettings.DEFAULT;
        int senders = Math.min(settings.senders(limit), instances);
        double rate = settings.rate(limit) / senders;
        double demand = DEMAND / instances;
        return senders / (1 / rate + 1 / demand);
    }

    private static void assertBoundKept(
            LimitFleet fleet, double from, double limit, String description) {
        assertThat(fleet.maximumUse(from, limit)).as(description).isLessThanOrEqualTo(1);
    }

    @Example
    void keepsAndUsesSteadyLimit() {
        for (int size : SIZES) {
            for (double limit : LIMITS) {
                String description = size + " instances, limit " + limit;
                double received = 0;
                for (long seed = 1; seed <= 3; seed++) {
                    LimitFleet fleet = limited(size, limit, seed);
                    double from = fleet.seconds() + INFORMED_SECONDS;
                    fleet.advance(INFORMED_SECONDS + 60);
                    assertBoundKept(fleet, from, limit, description + ", seed " + seed);
                    assertThat(fleet.received(from)).as("requests after the limit").isPositive();
                    received += fleet.received(from);
                }
                assertThat(limit == 0 ? 1 : received / (3 * 60 * usableRate(size, limit)))
                        .as("%s: share of the achievable rate", description)
                        .isGreaterThan(0.8);
            }
        }
    }

    @Example
    void followsChangingLimitUntilItIsLifted() {
        for (int size : SIZES) {
            LimitFleet fleet = limited(size, 20, 4);
            fleet.advance(INFORMED_SECONDS + 10);
            for (double limit : List.of(0.5, 10.0, 2.5)) {
                fleet.setLimit(limit);
                double from = fleet.seconds() + INFORMED_SECONDS;
                fleet.advance(INFORMED_SECONDS + 15);
                assertBoundKept(fleet, from, limit, size + " instances, limit " + limit);
            }
            fleet.setLimit(null);
            double lifted = fleet.seconds();
            fleet.advance(8);
            double served = fleet.received(lifted + 6) / 2.0;
            assertThat(served).as(size + " instances are back").isGreaterThan(DEMAND * 0.7);
        }
    }

    @Example
    void retriesServerWithLimitZero() {
        LimitFleet fleet = limited(67, 0, 5);
        fleet.advance(20);
        fleet.setLimit(null);
        double lifted = fleet.seconds();
        fleet.advance(14);
        assertThat(fleet.received(lifted + 12) / 2.0).isGreaterThan(DEMAND * 0.7);
    }

    @Example
    void keepsLimitWhileRegionsArePartitioned() {
        for (int size : SIZES) {
            for (double limit : LIMITS) {
                LimitFleet fleet = limited(size, limit, 6);
                double from = fleet.seconds() + INFORMED_SECONDS;
                fleet.advance(INFORMED_SECONDS + 5);
                fleet.setPartitioned(true);
                fleet.advance(15);
                fleet.setPartitioned(false);
                fleet.advance(10);
                assertBoundKept(fleet, from, limit, size + " instances, limit " + limit);
            }
        }
    }

    @Example
    void keepsLimitWhenHalfOfInstancesRestart() {
        for (int size : SIZES) {
            for (double limit : LIMITS) {
                LimitFleet fleet = limited(size, limit, 7);
                double from = fleet.seconds() + INFORMED_SECONDS;
                fleet.advance(INFORMED_SECONDS + 5);
                for (int round = 0; round < 3; round++) {
                    List<Instance> killed = fleet.instances().subList(0, size / 2);
                    killed.forEach(Instance::kill);
                    fleet.viewsChange(true);
                    fleet.advance(1 + round * 3);
                    killed.forEach(Instance::restart);
                    fleet.viewsChange(false);
                    fleet.advance(6);
                }
                assertBoundKeptByInformed(fleet, from, limit, size + " instances, limit " + limit);
            }
        }
    }

    @Example
    void keepsLimitDuringRollingRestart() {
        for (int size : SIZES) {
            LimitFleet fleet = limited(size, 2.5, 8);
            double from = fleet.seconds() + INFORMED_SECONDS;
            fleet.advance(INFORMED_SECONDS);
            for (int number = 0; number < Math.min(size, 40); number++) {
                Instance each = fleet.instances().get(number);
                each.kill();
                fleet.viewsChange(true);
                fleet.advance(0.4);
                each.restart();
                fleet.viewsChange(false);
                fleet.advance(0.4);
            }
            assertBoundKeptByInformed(fleet, from, 2.5, size + " instances");
        }
    }

    @Example
    void keepsLimitWhenInstancesAreSuspendedAndResume() {
        for (int size : SIZES) {
            LimitFleet fleet = limited(size, 2.5, 9);
            double from = fleet.seconds() + INFORMED_SECONDS;
            fleet.advance(INFORMED_SECONDS + 2);
            fleet.instances().subList(0, size / 3).forEach(each -> each.suspend(5 * SECOND));
            fleet.advance(20);
            assertBoundKept(fleet, from, 2.5, size + " instances");
        }
    }

    @Example
    void keepsAndLiftsLimitWhenMessagesAreLost() {
        for (int size : SIZES) {
            LimitFleet fleet = limited(size, 2.5, 10);
            fleet.setLossShare(0.5);
            double from = fleet.seconds() + INFORMED_SECONDS;
            fleet.advance(INFORMED_SECONDS + 20);
            assertBoundKept(fleet, from, 2.5, size + " instances");
            fleet.setLimit(null);
            fleet.advance(15);
            assertThat(fleet.received(fleet.seconds() - 3) / 3.0)
                    .as(size + " instances are back")
                    .isGreaterThan(DEMAND * 0.7);
        }
    }

    @Example
    void reportsChangeOnceInsteadOfForEachAnswer() {
        LimitFleet fleet = limited(67, 2.5, 11);
        fleet.advance(30);
        assertThat(fleet.changes()).isLessThanOrEqualTo(67);
        assertThat(fleet.messages()).isLessThan(67 * 67 + 67 * 31);
    }
}
