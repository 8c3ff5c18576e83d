/** HTTP interface for callers. Must not depend on how requests are steered. */
package io.masticpond.daemon.caller;
