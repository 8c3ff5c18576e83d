/** HTTP client for the operator interface of instances. Must not depend on the presentation. */
package io.masticpond.command.client;
