/** Measurement of drains of backend servers, over real sockets in one process. */
package io.masticpond.measure.drain;
