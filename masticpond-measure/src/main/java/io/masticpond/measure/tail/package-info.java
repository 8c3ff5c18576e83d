/**
 * Measure of the tail latency of steering policies on the same arrivals; the policy of this system
 * runs the real admission.
 */
package io.masticpond.measure.tail;
