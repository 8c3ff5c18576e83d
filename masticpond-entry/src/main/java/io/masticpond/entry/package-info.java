/** Request path of an instance, from clients to backend servers. */
package io.masticpond.entry;
