/**
 * Plays the decisions of instances on a simulated clock: placement, limits and retries as they are,
 * against modelled backend servers and clients. Must know nothing of sockets and threads.
 */
package io.masticpond.measure.decision;
