/**
 * Local replica of the platform's store, maintained by lists, watches and peers; must not depend on
 * the platform's document format.
 */
package io.masticpond.entry.replica;
