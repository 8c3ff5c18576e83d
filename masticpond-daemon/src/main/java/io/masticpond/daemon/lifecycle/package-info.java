/**
 * Planned stop and drain of this instance. This package must not depend on the parts that it stops.
 */
package io.masticpond.daemon.lifecycle;
