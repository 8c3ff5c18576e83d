/**
 * Requests under which backend servers end, told apart from those that were there by chance; must
 * know nothing of connections, HTTP and messages between instances.
 */
package io.masticpond.core.crash;
