/**
 * Snapshots of the backend servers, zones and routes that an instance knows. This package must not
 * depend on the source of the updates.
 */
package io.masticpond.core.fleet;
