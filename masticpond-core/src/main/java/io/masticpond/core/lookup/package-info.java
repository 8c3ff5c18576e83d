/** Selection of the instances that a client should use. Performs no I/O. */
package io.masticpond.core.lookup;
