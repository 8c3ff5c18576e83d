/**
 * Limits of the memory that the bodies of requests and responses occupy in an instance, and of the
 * request bodies in flight to a backend server. Independent of sockets, threads and the wall clock.
 */
package io.masticpond.core.body;
