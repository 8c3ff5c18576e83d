/** Measurement of the confirmation and distribution of configurations under faults. */
package io.masticpond.measure.configuration;
