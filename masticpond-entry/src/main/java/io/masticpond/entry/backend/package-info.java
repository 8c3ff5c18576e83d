/**
 * Netty-based connections to backend servers and the calls on them. Must not depend on routing or
 * on the selection of servers. Confined to the traffic thread.
 */
package io.masticpond.entry.backend;
