package io.masticpond.command.task;

import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryResponses;
import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Command that shows the versions that are in force at each instance. */
@Command(
        name = "versions",
        description = {
            "Show the versions that every instance has in force, and how old its news is.",
            "Instances that do not answer are named."
        })
final class EntryVersionsCommand extends AbstractEntryCommand {

    EntryVersionsCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return queryAll(client, "v1/status").map(this::show);
    }

    private ExitCode show(EntryResponses responses) {
        if (context().isJson()) {
            responses.documents().forEach(context()::writeJson);
        } else {
            responses.showVersions(context().page());
        }
        return exitCodeFor(responses);
    }
}
