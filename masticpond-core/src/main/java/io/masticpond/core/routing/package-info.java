/**
 * Routes of requests to services, as configured by operators. This package must not depend on how
 * requests are forwarded or where the configuration is stored.
 */
package io.masticpond.core.routing;
