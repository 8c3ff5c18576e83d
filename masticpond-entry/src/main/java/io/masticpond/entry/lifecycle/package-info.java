/**
 * Readiness of an instance for clients, and its planned stop. Must not depend on sockets and
 * threads.
 */
package io.masticpond.entry.lifecycle;
