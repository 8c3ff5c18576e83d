/**
 * Links to other instances over TCP: authenticated connections that carry envelopes.
 *
 * <p>This package only transports messages. It does not interpret them and must not depend on the
 * packages that make decisions.
 */
package io.masticpond.daemon.instance;
