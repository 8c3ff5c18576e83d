package io.masticpond.measure.logging;

import ch.qos.logback.classic.LoggerContext;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.daemon.logging.LogFormat;
import io.masticpond.daemon.logging.LogLevel;
import io.masticpond.daemon.logging.Logging;
import io.masticpond.daemon.logging.LoggingSettings;
import io.masticpond.entry.log.LogOptions;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.StandardOutputLog;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadInfo;
import java.lang.management.ThreadMXBean;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.slf4j.Logger;

/**
 * Measurement of the processor time that the logging thread takes for a line, at a steady rate of
 * lines.
 */
final class LineCostRun {

    private static final int WARM_UP_LINES = 4_000;
    private static final int LINES = 500;
    private static final long WARM_UP_INTERVAL_NANOS = TimeUnit.MICROSECONDS.toNanos(250);
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(10);
    private static final long SETTLE_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final int LINES_PER_SECOND = 1_000_000;
    private static final double NANOS_PER_MICRO = TimeUnit.MICROSECONDS.toNanos(1);

    /**
     * Result of a run.
     *
     * @param micros mean processor time of the logging thread for a line, in microseconds
     * @param callsPerLine mean number of calls of {@code write} for a line
     */
    record Result(double micros, double callsPerLine) {}

    private LineCostRun() {}

    /** Measures the log of the request path. */
    static Result entry() {
        try (OutputPipe pipe = new OutputPipe(true)) {
            CountedOutput output = new CountedOutput(pipe.output());
            LogOptions options =
                    new LogOptions(LINES_PER_SECOND, Duration.ofMillis(200), Duration.ofSeconds(1));
            try (StandardOutputLog log =
                    StandardOutputLog.start(options, new SystemTimeSource(), output)) {
                return measure(log::requestEnded, "log", output);
            }
        }
    }

    /** Measures the logging of the daemon, whose lines have a sentence in place of most fields. */
    static Result daemon() {
        LoggerContext context = new LoggerContext();
        LoggingSettings settings = new LoggingSettings(LogFormat.JSON, LogLevel.INFO);
        try (OutputPipe pipe = new OutputPipe(true)) {
            CountedOutput output = new CountedOutput(pipe.output());
            try (Logging logging = Logging.start(context, settings, output)) {
                Logger logger = context.getLogger(Logging.OWN_LOGGER);
                return measure(
                        request ->
                                logger.info(
                                        "CALLER  Request of route {} ended as {} in {} ns.",
                                        request.route(),
                                        request.outcome(),
                                        request.durationNanos()),
                        "AsyncAppender-Worker",
                        output);
            }
        }
    }

    private static Result measure(
            Consumer<RequestRecord> log, String thread, CountedOutput output) {
        SampleRequests requests = new SampleRequests();
        logRequests(log, requests, WARM_UP_LINES, WARM_UP_INTERVAL_NANOS);
        long calls = output.calls();
        long nanos = processorNanos(thread);
        logRequests(log, requests, LINES, INTERVAL_NANOS);
        return new Result(
                (processorNanos(thread) - nanos) / NANOS_PER_MICRO / LINES,
                (double) (output.calls() - calls) / LINES);
    }

    private static void logRequests(
            Consumer<RequestRecord> log, SampleRequests requests, int lines, long intervalNanos) {
        for (int index = 0; index < lines; index++) {
            log.accept(requests.next(System.nanoTime()));
            LockSupport.parkNanos(intervalNanos);
        }
        LockSupport.parkNanos(SETTLE_NANOS);
    }

    private static long processorNanos(String thread) {
        ThreadMXBean threads = ManagementFactory.getThreadMXBean();
        for (ThreadInfo info : threads.getThreadInfo(threads.getAllThreadIds())) {
            if (info != null && info.getThreadName().startsWith(thread)) {
                return threads.getThreadCpuTime(info.getThreadId());
            }
        }
        throw new IllegalStateException("Found no thread whose name starts with " + thread + ".");
    }
}
