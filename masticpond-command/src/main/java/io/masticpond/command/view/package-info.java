/** Presentation of responses as tables, JSON and HTML. Must not depend on the subcommands. */
package io.masticpond.command.view;
