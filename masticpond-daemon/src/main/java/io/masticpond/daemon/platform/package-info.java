/**
 * The client of the platform's object API. This package must not depend on the meaning of the
 * objects.
 */
package io.masticpond.daemon.platform;
