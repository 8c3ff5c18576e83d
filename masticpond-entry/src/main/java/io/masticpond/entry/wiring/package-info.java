/** Dependency injection of an instance; the only package that depends on all others. */
package io.masticpond.entry.wiring;
