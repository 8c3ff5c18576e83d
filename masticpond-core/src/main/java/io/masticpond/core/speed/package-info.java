/**
 * Estimates of the current slowdown of backend servers, and of the latencies of requests that
 * depend on it.
 */
package io.masticpond.core.speed;
