/**
 * HTTP client of backend servers and their health checks. Must not depend on how servers are
 * chosen.
 */
package io.masticpond.daemon.backend;
