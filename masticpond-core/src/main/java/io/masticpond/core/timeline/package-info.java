/** Timeline of events of all processes in causal order. Performs no I/O. */
package io.masticpond.core.timeline;
