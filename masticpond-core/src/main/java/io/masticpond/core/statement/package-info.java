/**
 * Statements of backend servers about themselves in the heads of their answers, and the withdrawals
 * that follow from them. Independent of connections and of header names.
 */
package io.masticpond.core.statement;
