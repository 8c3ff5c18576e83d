/**
 * Support for configurations: their documents, the chain at the platform and the distribution to
 * all instances.
 */
package io.masticpond.daemon.configuration;
