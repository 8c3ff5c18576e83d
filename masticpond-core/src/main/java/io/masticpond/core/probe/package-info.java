/**
 * Decision which backend servers are probed for their load, and when. Must not depend on
 * connections, messages and HTTP.
 */
package io.masticpond.core.probe;
