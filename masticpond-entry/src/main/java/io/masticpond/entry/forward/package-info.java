/**
 * Requests between instances: the protocol in which an instance that reaches no backend server of a
 * service forwards requests to another one. Must not depend on routes and the choice of a server.
 */
package io.masticpond.entry.forward;
