/**
 * The subcommands with their options and exit codes. Each queries instances and shows the
 * responses.
 */
package io.masticpond.command.task;
