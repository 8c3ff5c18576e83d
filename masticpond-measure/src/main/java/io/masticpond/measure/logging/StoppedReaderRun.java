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

/** Times what a request pays for its line while the output is read, or is not. */
final class StoppedReaderRun {

    private static final int WARM_UP_BURSTS = 2_000;
    private static final int BURSTS = 4_000;
    private static final int REQUESTS = 10;
    private static final int DIGITS = 3;
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * What a run gave.
     *
     * @param nanos the time of each call, in nanoseconds
     * @param written lines that the output took
     * @param noteworthyLeftOut refusals left out
     * @param plainLeftOut plain requests left out
     */
    record Result(Histogram nanos, long written, long noteworthyLeftOut, long plainLeftOut) {}

    private StoppedReaderRun() {}

    static Result run(boolean read) {
        SampleRequests requests = new SampleRequests();
        Histogram nanos = new Histogram(DIGITS);
        try (OutputPipe pipe = new OutputPipe(read)) {
            StandardOutputLog log =
                    StandardOutputLog.start(
                            LogOptions.DEFAULT, new SystemTimeSource(), pipe.output());
            DecisionLog all = new RecentDecisions(log, new SystemTimeSource());
            logBursts(all, requests, WARM_UP_BURSTS, new Histogram(DIGITS));
            logBursts(all, requests, BURSTS, nanos);
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
            for (int index = 0; index < REQUESTS; index++) {
                RequestRecord request = requests.next(System.nanoTime());
                long begin = System.nanoTime();
                log.requestEnded(request);
                nanos.recordValue(System.nanoTime() - begin);
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }
}
