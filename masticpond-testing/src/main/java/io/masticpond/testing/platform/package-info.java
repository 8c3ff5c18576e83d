/** Stand-in for the platform with its object API, its list of instances, and faults of both. */
package io.masticpond.testing.platform;
