/**
 * Heartbeats between instances and the detection of which are alive, with the datagrams that
 * instances exchange. Must not depend on routes and backend servers.
 */
package io.masticpond.entry.peer;
