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

/** Asks for reads at a steady pace while the platform is away, and until it is back. */
final class OutageRun {

    private static final int CALLS_PER_SECOND = 200;
    private static final Duration OUTAGE = Duration.ofSeconds(5);
    private static final Duration LONGEST_RETURN = Duration.ofSeconds(15);
    private static final long PACE_MILLIS = 20;

    /**
     * What became of the calls.
     *
     * @param asked reads asked for in the outage
     * @param made calls that the platform saw in the outage
     * @param slowestMillis the longest time that a read took to fail within the outage
     * @param returnMillis the time from the end of the outage to the first answer
     */
    record Result(int asked, long made, long slowestMillis, long returnMillis) {}

    private OutageRun() {}

    static Result run(PlatformCallDisposition fate, long seed) throws InterruptedException {
        try (PlatformBench bench = new PlatformBench(seed, 1, CALLS_PER_SECOND)) {
            bench.state().setFaults(PlatformFaults.outage(fate));
            long start = System.nanoTime();
            AtomicLong slowest = new AtomicLong();
            int asked = 0;
            while (System.nanoTime() - start < OUTAGE.toNanos()) {
                ask(bench, slowest);
                asked++;
                Thread.sleep(PACE_MILLIS);
            }
            long made = bench.state().counts().total();
            bench.state().setFaults(PlatformFaults.NONE);
            long back = System.nanoTime();
            while (read(bench).isLeft() && System.nanoTime() - back < LONGEST_RETURN.toNanos()) {
                Thread.sleep(PACE_MILLIS);
            }
            return new Result(asked, made, millis(slowest.get()), millis(System.nanoTime() - back));
        }
    }

    private static void ask(PlatformBench bench, AtomicLong slowest) {
        long before = System.nanoTime();
        var unused =
                bench.store()
                        .read(PlatformBench.KEY)
                        .thenAccept(
                                result ->
                                        slowest.accumulateAndGet(
                                                System.nanoTime() - before, Math::max));
    }

    private static Either<PlatformError, Optional<StoredObject>> read(PlatformBench bench) {
        return bench.store().read(PlatformBench.KEY).join();
    }

    private static long millis(long nanos) {
        return TimeUnit.NANOSECONDS.toMillis(nanos);
    }
}
