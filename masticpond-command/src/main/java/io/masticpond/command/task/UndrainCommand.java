package io.masticpond.command.task;

import picocli.CommandLine.Command;

/** Command that cancels the drain of an instance. */
@Command(name = "undrain", description = "Take back a drain: the instance takes callers again.")
final class UndrainCommand extends AbstractDrainCommand {

    UndrainCommand(CommandContext context) {
        super(context, "undrain");
    }
}
