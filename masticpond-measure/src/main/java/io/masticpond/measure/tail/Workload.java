package io.masticpond.measure.tail;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * The arrivals of one run, the same for every policy.
 *
 * @param arrivalNanos the times at which requests leave their clients, in nanoseconds since the
 *     start
 * @param entries the entry instance of each request
 * @param serviceNanos the service time of each request at a backend server, in nanoseconds
 */
record Workload(long[] arrivalNanos, int[] entries, long[] serviceNanos) {

    private static final double SIGMA = 1;

    /**
     * Draws the arrivals of a Poisson process and lognormal service times.
     *
     * @param scenario the load and the mean service time
     * @param slots the total number of slots of all backend servers
     * @param instances the number of entry instances
     * @param seed the seed
     * @return the arrivals
     */
    static Workload draw(TailScenario scenario, int slots, int instances, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        double meanNanos = scenario.meanNanos();
        SharedStateContinuousSampler interarrivalTimes =
                ZigguratSampler.Exponential.of(random, meanNanos / (scenario.load() * slots));
        SharedStateContinuousSampler serviceTimes =
                LogNormalSampler.of(
                        ZigguratSampler.NormalizedGaussian.of(random),
                        Math.log(meanNanos) - SIGMA * SIGMA / 2,
                        SIGMA);
        int count = scenario.requests();
        Workload workload = new Workload(new long[count], new int[count], new long[count]);
        double arrival = 0;
        for (int i = 0; i < count; i++) {
            arrival += interarrivalTimes.sample();
            workload.arrivalNanos[i] = (long) arrival;
            workload.entries[i] = random.nextInt(instances);
            workload.serviceNanos[i] = Math.max(1, (long) serviceTimes.sample());
        }
        return workload;
    }

    int size() {
        return arrivalNanos.length;
    }

    long endNanos() {
        return arrivalNanos[arrivalNanos.length - 1];
    }
}
