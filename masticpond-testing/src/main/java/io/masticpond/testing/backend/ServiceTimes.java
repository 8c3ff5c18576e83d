package io.masticpond.testing.backend;

import java.util.function.DoubleSupplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.LogNormalSampler;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/** Random source of service times and faults, reproducible from one seed. Not thread-safe. */
final class ServiceTimes {

    private final UniformRandomProvider mRandom;
    private final DoubleSupplier mMillis;

    ServiceTimes(double meanMillis, double sigma, long seed) {
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        mMillis = sampler(meanMillis, sigma);
    }

    double nextMillis() {
        return mMillis.getAsDouble();
    }

    boolean drawsFault(double share) {
        return share > 0 && mRandom.nextDouble() < share;
    }

    private DoubleSupplier sampler(double meanMillis, double sigma) {
        if (sigma == 0 || meanMillis == 0) {
            return () -> meanMillis;
        }
        double mu = Math.log(meanMillis) - sigma * sigma / 2;
        SharedStateContinuousSampler sampler =
                LogNormalSampler.of(ZigguratSampler.NormalizedGaussian.of(mRandom), mu, sigma);
        return sampler::sample;
    }
}
