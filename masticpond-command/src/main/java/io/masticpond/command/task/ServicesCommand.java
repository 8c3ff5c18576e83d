package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.ConfigurationAnswer;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.ServicesView;
import io.vavr.control.Either;
import picocli.CommandLine.Command;

/** Command that shows the services and their capacity. */
@Command(name = "services", description = "Show the services with their slots in each region.")
final class ServicesCommand extends AbstractShowCommand {

    ServicesCommand(CommandContext context) {
        super(context, "v1/configuration");
    }

    @Override
    Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document, Page page) {
        return translate(client.read(document, ConfigurationAnswer.class))
                .flatMap(
                        configuration ->
                                get(client, StatusCommand.PATH, StatusAnswer.class)
                                        .peek(
                                                status ->
                                                        ServicesView.showServices(
                                                                configuration, status, page))
                                        .map(status -> ExitCode.DONE));
    }
}
