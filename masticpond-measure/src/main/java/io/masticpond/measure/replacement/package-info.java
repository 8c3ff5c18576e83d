/** Measures of the effect on callers of replacing instances, with real processes. */
package io.masticpond.measure.replacement;
