/** Decisions and state machines of the steering system, free of I/O, threads and wall clock. */
package io.masticpond.core;
