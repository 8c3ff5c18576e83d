package io.masticpond.command.task;

import picocli.CommandLine.Command;

/** Command that drains an instance. */
@Command(
        name = "drain",
        description = "Let an instance leave: look-ups name it no more, its work is finished.")
final class DrainCommand extends AbstractDrainCommand {

    DrainCommand(CommandContext context) {
        super(context, "drain");
    }
}
