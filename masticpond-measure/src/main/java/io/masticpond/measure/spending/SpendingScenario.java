package io.masticpond.measure.spending;

import io.masticpond.core.spending.AllotmentPolicy;
import java.time.Duration;

/**
 * Parameters of a simulation of two consecutive shifts of one service.
 *
 * @param instances the number of instances that share the cap
 * @param shift the length of each shift
 * @param requestsPerSecond the request rate at all instances together
 * @param demand the demand in a shift as a multiple of the cap
 * @param policy the policy that sizes allotments
 * @param advancePeriod the interval at which each spending gate is advanced
 * @param lostShare the fraction of writes whose answer is lost
 * @param crashes the number of crashes in the first two thirds of the first shift, each of a random
 *     instance
 * @param pauses the number of pauses of a minute in the first shift, each of a random instance; if
 *     it is positive, one more pause is centered on the boundary between the shifts
 * @param outage the duration of each of two platform outages, one that begins after a third of the
 *     first shift, one centered on the boundary between the shifts
 */
record SpendingScenario(
        int instances,
        Duration shift,
        double requestsPerSecond,
        double demand,
        AllotmentPolicy policy,
        Duration advancePeriod,
        double lostShare,
        int crashes,
        int pauses,
        Duration outage) {

    static SpendingScenario ofNine(AllotmentPolicy policy) {
        return new SpendingScenario(
                9,
                Duration.ofHours(8),
                10,
                1.25,
                policy,
                Duration.ofSeconds(1),
                0,
                0,
                0,
                Duration.ZERO);
    }

    /** Returns a copy of this scenario with lost answers, pauses, outages and crashes. */
    SpendingScenario withFaults(double lost, int pauseCount, Duration unavailable, int crashCount) {
        return new SpendingScenario(
                instances,
                shift,
                requestsPerSecond,
                demand,
                policy,
                advancePeriod,
                lost,
                crashCount,
                pauseCount,
                unavailable);
    }

    /** Returns a copy of this scenario with another demand. */
    SpendingScenario withDemand(double multiple) {
        return new SpendingScenario(
                instances,
                shift,
                requestsPerSecond,
                multiple,
                policy,
                advancePeriod,
                lostShare,
                crashes,
                pauses,
                outage);
    }

    /**
     * Returns a scenario of a fleet with shifts of an hour, in which each instance receives a
     * request every four seconds.
     */
    static SpendingScenario ofFleet(int instances) {
        return new SpendingScenario(
                instances,
                Duration.ofHours(1),
                instances / 4.0,
                1.25,
                AllotmentPolicy.DEFAULT,
                Duration.ofSeconds(2),
                0.01,
                0,
                0,
                Duration.ZERO);
    }
}
