/**
 * Small deployment of separate processes on loopback, for the quickstart and the measures that kill
 * and replace instances.
 */
package io.masticpond.measure.fleet;
