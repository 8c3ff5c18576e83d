/**
 * Detection of requests that crash backend servers, as distinguished from requests that were at a
 * server by chance when it ended. Must not depend on connections, HTTP or the transport of messages
 * between instances.
 */
package io.masticpond.core.crash;
