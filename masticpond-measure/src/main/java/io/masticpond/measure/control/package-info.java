/** Measurement of what a daemon spends on control: heartbeats, membership and links. */
package io.masticpond.measure.control;
