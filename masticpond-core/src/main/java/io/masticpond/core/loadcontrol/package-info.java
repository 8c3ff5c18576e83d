/**
 * Settings of load control, and the rule that determines for which services it is active. Must not
 * depend on the parts that it activates.
 */
package io.masticpond.core.loadcontrol;
