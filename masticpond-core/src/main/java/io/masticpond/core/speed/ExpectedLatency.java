package io.masticpond.core.speed;

/**
 * Expected latency of a request at one server.
 *
 * @param waitNanos the expected wait for a slot
 * @param runNanos the expected time of the run, at the expected slowdown and mix of cache hits and
 *     misses
 * @param transferNanos the expected time of the transfers, including a new connection if one is
 *     required
 * @param inTime the probability of an answer within the target latency
 * @param speedAgeNanos the age of the reported slowdown, or -1 if none was reported
 * @since 0.3
 */
public record ExpectedLatency(
        double waitNanos,
        double runNanos,
        double transferNanos,
        double inTime,
        long speedAgeNanos) {

    /**
     * Returns the expected time until the answer.
     *
     * @return the sum of the parts in nanoseconds
     */
    public double totalNanos() {
        return waitNanos + runNanos + transferNanos;
    }
}
