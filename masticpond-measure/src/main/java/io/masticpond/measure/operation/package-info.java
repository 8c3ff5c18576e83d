/** Measures of operations that run at most once, and of answers that belong to their requests. */
package io.masticpond.measure.operation;
