/**
 * What backend servers state of themselves in the heads of their answers, and what holds of them
 * for it. Knows no connections and no names of headers.
 */
package io.masticpond.core.statement;
