/**
 * Metrics of this process and the operator route that exposes them. Names, units and labels are
 * documented in docs/operations/metrics.md. This package must not depend on the parts that make
 * decisions, only on the values that they pass to it.
 */
package io.masticpond.daemon.metrics;
