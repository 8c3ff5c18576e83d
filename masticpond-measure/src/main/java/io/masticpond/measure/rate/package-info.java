/**
 * Simulation of the rates of workspaces over many instances, with the product's classes on a
 * simulated clock and the alternative strategies that they were compared with.
 */
package io.masticpond.measure.rate;
