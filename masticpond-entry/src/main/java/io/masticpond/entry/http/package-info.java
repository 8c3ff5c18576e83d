/**
 * Netty-based HTTP/1.1 server for clients. Must not depend on routing or backend servers. Confined
 * to the traffic thread (a single event loop).
 */
package io.masticpond.entry.http;
