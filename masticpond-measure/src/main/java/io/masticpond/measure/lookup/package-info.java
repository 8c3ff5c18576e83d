/** Measures of look-ups and of directory decisions. */
package io.masticpond.measure.lookup;
