package io.masticpond.measure.tail;

import org.HdrHistogram.Histogram;

/**
 * Result of one policy under one load, over all seeds.
 *
 * @param latencies the latencies at clients in nanoseconds
 * @param refused the number of requests that were refused
 * @param peakUse the peak load of a server as a fraction of its slots
 * @param overloadedNanos the time for which servers had more requests than slots, summed over all
 *     servers
 */
record TailResult(Histogram latencies, int refused, double peakUse, long overloadedNanos) {

    static final double P50 = 50;
    static final double P99 = 99;
    static final double P999 = 99.9;

    private static final double NANOS_PER_MILLI = 1e6;

    /** Merges the results of two seeds. */
    static TailResult merge(TailResult first, TailResult second) {
        Histogram merged = first.latencies.copy();
        merged.add(second.latencies);
        return new TailResult(
                merged,
                first.refused + second.refused,
                Math.max(first.peakUse, second.peakUse),
                first.overloadedNanos + second.overloadedNanos);
    }

    double millis(double percentile) {
        return latencies.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    long answered() {
        return latencies.getTotalCount();
    }
}
