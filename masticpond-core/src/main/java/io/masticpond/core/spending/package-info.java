/** Spending caps of shifts and the allotments that instances spend from. Performs no I/O. */
package io.masticpond.core.spending;
