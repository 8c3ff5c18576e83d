package io.masticpond.core.support;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;

/**
 * Latest reports of a number of reporters, each of which may consist of several parts. A part
 * replaces the previous report of the same part, and expires if no further one arrives. A state
 * machine for use by a single thread.
 *
 * @param <R> the type of the reporters
 * @param <K> the type of the keys of a report
 * @param <V> the type of the values of a report
 * @since 0.3
 */
public final class PartialReports<R, K, V> {

    /**
     * Content of a part.
     *
     * @param values the values by key, which must not be changed any more
     * @param instances the number of instances that the report covers
     * @param nanos the monotonic time of its arrival, in nanoseconds
     * @param <K> the type of the keys
     * @param <V> the type of the values
     */
    public record Report<K, V>(Map<K, V> values, int instances, long nanos) {}

    /**
     * Identifies a part of the reports of a reporter.
     *
     * @param reporter the reporter
     * @param part the index of the part, from 0
     * @param <R> the type of the reporters
     */
    public record Part<R>(R reporter, int part) {

        /**
         * Explicit, since the generated implementation of a record is linked at its first use,
         * which would be during startup.
         */
        @Override
        public boolean equals(Object other) {
            return other instanceof Part<?> that
                    && part == that.part
                    && reporter.equals(that.reporter);
        }

        @Override
        public int hashCode() {
            return 31 * reporter.hashCode() + part;
        }
    }

    private final long mValidityNanos;
    private final Map<Part<R>, Report<K, V>> mReports = new HashMap<>();

    /**
     * Creates an empty collection.
     *
     * @param validityNanos the time after which a report is ignored, in nanoseconds
     */
    public PartialReports(long validityNanos) {
        mValidityNanos = validityNanos;
    }

    /**
     * Records a part.
     *
     * @param reporter the reporter
     * @param part the index of the part
     * @param report the content
     */
    public void received(R reporter, int part, Report<K, V> report) {
        mReports.put(new Part<>(reporter, part), report);
    }

    /**
     * Removes the parts of a reporter that its current reports no longer have.
     *
     * @param reporter the reporter
     * @param parts the number of parts of its current reports
     */
    public void truncate(R reporter, int parts) {
        mReports.keySet().removeIf(key -> key.part() >= parts && key.reporter().equals(reporter));
    }

    /**
     * Removes the reports that have expired.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void removeExpired(long nowNanos) {
        mReports.values().removeIf(report -> nowNanos - report.nanos() > mValidityNanos);
    }

    /**
     * Returns the last report of a part.
     *
     * @param reporter the reporter
     * @param part the index of the part
     * @return the report, or {@code null} if there is none
     */
    public Report<K, V> of(R reporter, int part) {
        return mReports.get(new Part<>(reporter, part));
    }

    /**
     * Passes on all reports, including those that have expired and were not removed.
     *
     * @param action the action for each part
     */
    public void forEach(BiConsumer<Part<R>, Report<K, V>> action) {
        mReports.forEach(action);
    }

    /**
     * Copies the reports.
     *
     * @return an independent collection with the same reports
     */
    public PartialReports<R, K, V> copy() {
        PartialReports<R, K, V> copy = new PartialReports<>(mValidityNanos);
        copy.mReports.putAll(mReports);
        return copy;
    }
}
