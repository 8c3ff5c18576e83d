package io.masticpond.entry.log;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Options that bound the volume and delay of the log.
 *
 * @param linesPerSecond the maximum number of lines per second, averaged over more than a second
 * @param batchInterval the time for which lines are collected to be written together
 * @param maximumFlushTime the maximum time for which a stop waits for the output to accept the last
 *     lines
 * @since 0.2
 */
public record LogOptions(int linesPerSecond, Duration batchInterval, Duration maximumFlushTime) {

    /** The default options, for an instance with a few dozen requests per second. */
    public static final LogOptions DEFAULT =
            new LogOptions(200, Duration.ofMillis(200), Duration.ofSeconds(1));

    /**
     * Returns a copy of these options with another budget.
     *
     * @param lines the maximum number of lines per second
     * @return the options
     */
    public LogOptions withLinesPerSecond(int lines) {
        return new LogOptions(lines, batchInterval, maximumFlushTime);
    }

    /** Checks that all options are positive. */
    public LogOptions {
        Assert.positive(linesPerSecond, "A number of lines per second");
        Assert.positive(batchInterval.toNanos(), "A batch interval");
        Assert.positive(maximumFlushTime.toNanos(), "A maximum flush time");
    }
}
