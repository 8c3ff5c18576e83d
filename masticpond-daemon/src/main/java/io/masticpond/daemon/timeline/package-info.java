/** Operator route for the timeline of this process; the events are recorded by the core. */
package io.masticpond.daemon.timeline;
