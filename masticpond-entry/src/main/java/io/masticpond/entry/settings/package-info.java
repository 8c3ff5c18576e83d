/**
 * Settings of one instance, names of the headers that it uses on the wire, and handling of the
 * signals that it receives. Must not depend on the platform that renders the settings.
 */
package io.masticpond.entry.settings;
