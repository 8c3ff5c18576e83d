/**
 * Support shared by all HTTP clients of the daemon. This package must not depend on what they call.
 */
package io.masticpond.daemon.http;
