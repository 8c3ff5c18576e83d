/** Measure of the platform's client, over real sockets in one process. */
package io.masticpond.measure.platform;
