/**
 * Membership: detection of live instances, and selection of the instances that admit work to a
 * shard. Performs no I/O.
 */
package io.masticpond.core.membership;
