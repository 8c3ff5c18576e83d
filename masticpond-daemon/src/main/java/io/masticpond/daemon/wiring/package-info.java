/** Dagger wiring of the daemon. Only this package may depend on all others. */
package io.masticpond.daemon.wiring;
