package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.SpendingAnswer;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.SpendingTable;
import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Command that shows the spending of the current shifts. */
@Command(
        name = "spending",
        description = "Show the spending of the shifts that run now, against their caps.")
final class SpendingCommand extends AbstractShowCommand {

    SpendingCommand(CommandContext context) {
        super(context, "v1/spending");
    }

    @Override
    Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document, Page page) {
        return translate(client.read(document, SpendingAnswer.class))
                .peek(answer -> SpendingTable.show(answer, page))
                .map(answer -> ExitCode.DONE);
    }
}
