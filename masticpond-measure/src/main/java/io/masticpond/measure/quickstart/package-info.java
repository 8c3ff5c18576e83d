/** Quickstart that starts all processes of the system on loopback, one after another. */
package io.masticpond.measure.quickstart;
