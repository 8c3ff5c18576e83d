/** Pays for attempts under the caps of shifts, from ledgers in the store; decides in the core. */
package io.masticpond.entry.spending;
