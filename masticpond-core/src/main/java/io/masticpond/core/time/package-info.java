/**
 * Time sources that are passed to other components. The only package that may read the machine's
 * clocks.
 */
package io.masticpond.core.time;
