/**
 * The settings of the daemon, read once at startup. This package must not depend on the components
 * that it configures.
 */
package io.masticpond.daemon.settings;
