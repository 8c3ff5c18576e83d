/**
 * Workspaces as configured by operators: their keys, limits and regions. This package must not
 * depend on routes or on the transport of keys.
 */
package io.masticpond.core.workspace;
