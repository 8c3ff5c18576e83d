package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.StatusView;
import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Command that shows the status of an instance and its view of the other instances. */
@Command(
        name = "status",
        description = "Show the instances and their states, as the first that answers sees them.")
final class StatusCommand extends AbstractShowCommand {

    static final String PATH = "v1/status";

    StatusCommand(CommandContext context) {
        super(context, PATH);
    }

    @Override
    Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document, Page page) {
        return translate(client.read(document, StatusAnswer.class))
                .peek(status -> StatusView.show(status, page))
                .map(status -> ExitCode.DONE);
    }
}
