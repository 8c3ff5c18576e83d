/**
 * Membership service, which exchanges heartbeats over the links and reads the platform's list of
 * instances.
 *
 * <p>Heartbeats are evaluated in {@code io.masticpond.core.membership}.
 */
package io.masticpond.daemon.membership;
