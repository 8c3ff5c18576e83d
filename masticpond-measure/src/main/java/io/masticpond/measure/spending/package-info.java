/** Measure of spending, with real accounts and spending gates over a small fake of the platform. */
package io.masticpond.measure.spending;
