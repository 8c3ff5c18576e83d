/**
 * Set-up of Logback from the settings, and the operator routes that change log levels at run time.
 */
package io.masticpond.daemon.logging;
