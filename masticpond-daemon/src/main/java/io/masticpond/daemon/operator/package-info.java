/**
 * The HTTP interface for operators. This package must not depend on how configurations are
 * distributed.
 */
package io.masticpond.daemon.operator;
