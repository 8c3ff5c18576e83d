package io.masticpond.core.limit;

/**
 * Evaluation of a backend server with the statistics behind it.
 *
 * @param penalty the current penalty of the server, from 0 to 1
 * @param calls the number of calls behind the evaluation, after decay
 * @param failureShare the part of them that failed, from 0 to 1
 * @param meanNanos the mean latency of the successful calls in nanoseconds, 0 if there are none
 * @since 0.2
 */
public record ServerEvaluation(double penalty, double calls, double failureShare, long meanNanos) {}
