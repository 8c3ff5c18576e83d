/**
 * Limits that backend servers name in their answers: the requests a second that a server takes from
 * all instances together. Knows no sockets, threads or wall clock.
 */
package io.masticpond.core.serverlimit;
