/** Single-threaded event loops with bounded queues; independent of the tasks that they run. */
package io.masticpond.daemon.eventloop;
