/** Names of the HTTP header fields that the interfaces to callers and to backend servers share. */
package io.masticpond.daemon.header;
