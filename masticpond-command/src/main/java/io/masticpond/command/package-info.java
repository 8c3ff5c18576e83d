/** The operators' command line: its entry point and terminal. Must not depend on the daemon. */
package io.masticpond.command;
