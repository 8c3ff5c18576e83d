/**
 * Charging of attempts under the spending caps of shifts, with ledgers in the store. The decisions
 * are made by {@code io.masticpond.core.spending}.
 */
package io.masticpond.entry.spending;
