package io.masticpond.measure.platform;

import io.masticpond.daemon.platform.HttpObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.vavr.control.Either;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.HdrHistogram.Histogram;

/** Measurement of the latency of sequential calls to a platform without faults. */
final class CallLatency {

    private static final int WARM_UP_CALLS = 1_000;
    private static final int CALLS = 3_000;
    private static final int UNLIMITED = 1_000_000;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double P50 = 50;
    private static final double P99 = 99;
    private static final double MICROS_PER_MILLI = TimeUnit.MILLISECONDS.toMicros(1);
    private static final byte[] VALUE = new byte[1_024];

    private final Histogram mReads = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram mWrites = new Histogram(SIGNIFICANT_DIGITS);

    /** Median and 99th percentile of the latency of a kind of call, in milliseconds. */
    record Quantiles(double p50Millis, double p99Millis) {}

    static CallLatency measure(long seed) {
        CallLatency latency = new CallLatency();
        try (PlatformBench bench = new PlatformBench(seed, 1, UNLIMITED)) {
            latency.run(bench, WARM_UP_CALLS);
            latency.mReads.reset();
            latency.mWrites.reset();
            latency.run(bench, CALLS);
        }
        return latency;
    }

    Quantiles reads() {
        return quantiles(mReads);
    }

    Quantiles writes() {
        return quantiles(mWrites);
    }

    private void run(PlatformBench bench, int calls) {
        HttpObjectStore store = bench.store();
        long version =
                bench.state()
                        .read(PlatformBench.KEY.kind().path(), PlatformBench.KEY.name())
                        .map(object -> object.version())
                        .orElse(0L);
        for (int call = 0; call < calls; call++) {
            long expected = version;
            version = timed(mWrites, () -> store.write(PlatformBench.KEY, expected, VALUE));
            timed(mReads, () -> store.read(PlatformBench.KEY));
        }
    }

    private static <T> T timed(
            Histogram histogram, Supplier<CompletableFuture<Either<PlatformError, T>>> call) {
        long start = System.nanoTime();
        T result = call.get().join().get();
        histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(System.nanoTime() - start));
        return result;
    }

    private static Quantiles quantiles(Histogram histogram) {
        return new Quantiles(
                histogram.getValueAtPercentile(P50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(P99) / MICROS_PER_MILLI);
    }
}
