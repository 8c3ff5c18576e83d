package io.masticpond.core.limit;

/**
 * What is held against a backend server, and on what.
 *
 * @param penalty how much it counts against the server now, 0 to 1
 * @param calls the calls that the judgement rests on, older ones counting less
 * @param failureShare the part of them that failed, 0 to 1
 * @param meanNanos the mean time of those that succeeded, 0 if none did
 * @since 0.2
 */
public record ServerEvaluation(double penalty, double calls, double failureShare, long meanNanos) {}
