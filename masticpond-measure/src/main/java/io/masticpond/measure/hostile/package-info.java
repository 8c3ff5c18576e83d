/** Measure that feeds generated inputs to all interfaces through which data enters the process. */
package io.masticpond.measure.hostile;
