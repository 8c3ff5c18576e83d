/**
 * Handling of a client's request: route, choice of a backend server, attempts, and exactly one
 * answer, which states truthfully whether the request ran. This package must not depend on sockets
 * or on the source of updates. For use on the traffic thread only.
 */
package io.masticpond.entry.request;
