package io.masticpond.measure.platform;

import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.daemon.platform.StoredObject;
import io.masticpond.testing.platform.PlatformCallDisposition;
import io.masticpond.testing.platform.PlatformFaults;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Run that requests reads at a steady rate while the platform is unavailable, and until it answers
 * again.
 */
final class OutageRun {

    private static final int CALLS_PER_SECOND = 200;
    private static final Duration OUTAGE = Duration.ofSeconds(5);
    private static final Duration MAXIMUM_RECOVERY = Duration.ofSeconds(15);
    private static final long INTERVAL_MILLIS = 20;

    /**
     * Result of an outage.
     *
     * @param requestedReads the number of reads requested during the outage
     * @param platformCalls the number of calls that the platform received during the outage
     * @param slowestMillis the longest time that a read took to fail within the outage, in
     *     milliseconds
     * @param recoveryMillis the time from the end of the outage to the first answer, in
     *     milliseconds
     */
    record Result(
            int requestedReads, long platformCalls, long slowestMillis, long recoveryMillis) {}

    private OutageRun() {}

    static Result run(PlatformCallDisposition disposition, long seed) throws InterruptedException {
        try (PlatformBench bench = new PlatformBench(seed, 1, CALLS_PER_SECOND)) {
            bench.state().setFaults(PlatformFaults.outage(disposition));
            long start = System.nanoTime();
            AtomicLong slowest = new AtomicLong();
            int requestedReads = 0;
            while (System.nanoTime() - start < OUTAGE.toNanos()) {
                requestRead(bench, slowest);
                requestedReads++;
                Thread.sleep(INTERVAL_MILLIS);
            }
            long platformCalls = bench.state().counts().total();
            bench.state().setFaults(PlatformFaults.NONE);
            long outageEnd = System.nanoTime();
            while (read(bench).isLeft()
                    && System.nanoTime() - outageEnd < MAXIMUM_RECOVERY.toNanos()) {
                Thread.sleep(INTERVAL_MILLIS);
            }
            return new Result(
                    requestedReads,
                    platformCalls,
                    millis(slowest.get()),
                    millis(System.nanoTime() - outageEnd));
        }
    }

    private static void requestRead(PlatformBench bench, AtomicLong slowest) {
        long start = System.nanoTime();
        var unused =
                bench.store()
                        .read(PlatformBench.KEY)
                        .thenAccept(
                                result ->
                                        slowest.accumulateAndGet(
                                                System.nanoTime() - start, Math::max));
    }

    private static Either<PlatformError, Optional<StoredObject>> read(PlatformBench bench) {
        return bench.store().read(PlatformBench.KEY).join();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
