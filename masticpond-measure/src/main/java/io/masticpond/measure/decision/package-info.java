/**
 * Simulation of the decisions of instances on a virtual clock: the product's placement, limits and
 * retries with simulated backend servers and clients. Must not depend on sockets or threads.
 */
package io.masticpond.measure.decision;
