/**
 * Spending ledgers in the platform's object store and the service that maintains them. The
 * decisions are made in the core.
 */
package io.masticpond.daemon.spending;
