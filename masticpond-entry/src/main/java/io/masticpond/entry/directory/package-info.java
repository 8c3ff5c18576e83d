/**
 * Selection of the instances that clients may connect to. Must not depend on sockets, routes and
 * backend servers.
 */
package io.masticpond.entry.directory;
