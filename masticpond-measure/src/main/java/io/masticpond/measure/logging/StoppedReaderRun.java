package io.masticpond.measure.logging;

import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.LinePriority;
import io.masticpond.entry.log.LogOptions;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.StandardOutputLog;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.HdrHistogram.Histogram;

/**
 * Measurement of the time for which a request waits for its log line, with an output that is read
 * or never read.
 */
final class StoppedReaderRun {

    private static final int WARM_UP_BURSTS = 2_000;
    private static final int BURSTS = 4_000;
    private static final int REQUESTS_PER_BURST = 10;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Result of a run.
     *
     * @param nanos the durations of the calls, in nanoseconds
     * @param written the number of lines that were written, including those of the warm-up
     * @param noteworthyLeftOut the number of refusals that were dropped, including the warm-up
     * @param plainLeftOut the number of plain requests that were dropped, including the warm-up
     */
    record Result(Histogram nanos, long written, long noteworthyLeftOut, long plainLeftOut) {}

    private StoppedReaderRun() {}

    static Result run(boolean read) {
        SampleRequests requests = new SampleRequests();
        Histogram nanos = new Histogram(SIGNIFICANT_DIGITS);
        try (OutputPipe pipe = new OutputPipe(read)) {
            StandardOutputLog log =
                    StandardOutputLog.start(
                            LogOptions.DEFAULT, new SystemTimeSource(), pipe.output());
            DecisionLog decisions = new RecentDecisions(log, new SystemTimeSource());
            logBursts(decisions, requests, WARM_UP_BURSTS, new Histogram(SIGNIFICANT_DIGITS));
            logBursts(decisions, requests, BURSTS, nanos);
            log.close();
            return new Result(
                    nanos,
                    log.counts().written(),
                    log.counts().dropped(LinePriority.NOTEWORTHY),
                    log.counts().dropped(LinePriority.PLAIN));
        }
    }

    private static void logBursts(
            DecisionLog log, SampleRequests requests, int bursts, Histogram nanos) {
        for (int burst = 0; burst < bursts; burst++) {
            for (int index = 0; index < REQUESTS_PER_BURST; index++) {
                RequestRecord request = requests.next(System.nanoTime());
                long start = System.nanoTime();
                log.requestEnded(request);
                nanos.recordValue(System.nanoTime() - start);
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }
}
