/** Threads with one duty each, fed by one bounded ring each; they must not know what they run. */
package io.masticpond.daemon.eventloop;
