/** Operations that run at most once, and their outcomes. Performs no I/O. */
package io.masticpond.core.operation;
