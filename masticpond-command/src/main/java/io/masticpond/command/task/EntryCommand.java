package io.masticpond.command.task;

import java.util.concurrent.Callable;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Parent command of the commands that query instances of the request path. */
@Command(
        name = "entry",
        description = {
            "Ask the instances of the request path (masticpond-entry); all but release only tell.",
            "--instances names the addresses of their metrics; no token is needed."
        },
        synopsisSubcommandLabel = "COMMAND")
final class EntryCommand implements Callable<Integer> {

    @Spec private CommandSpec mSpec;

    /** Creates the command with its subcommands. */
    static CommandLine create(CommandContext context) {
        CommandLine entry = new CommandLine(new EntryCommand());
        entry.addSubcommand(new EntryVersionsCommand(context));
        entry.addSubcommand(new EntryTimelineCommand(context));
        entry.addSubcommand(new EntryLossesCommand(context));
        entry.addSubcommand(new EntryReleaseCommand(context));
        EntryShowCommand.createAll(context)
                .forEach(spec -> entry.addSubcommand(spec.name(), new CommandLine(spec)));
        return entry;
    }

    @Override
    public Integer call() {
        throw new ParameterException(mSpec.commandLine(), "Missing command.");
    }
}
