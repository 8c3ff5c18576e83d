/**
 * Limits that backend servers state in their answers: the requests per second that a server accepts
 * from all instances together. Independent of sockets, threads and the wall clock.
 */
package io.masticpond.core.serverlimit;
