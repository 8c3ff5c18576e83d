/** Measure of the cost of logging to a request and to the process. */
package io.masticpond.measure.logging;
