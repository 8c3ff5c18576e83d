package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.StatusAnswer;
import io.masticpond.command.view.StatusView;
import io.vavr.control.Either;
import picocli.CommandLine.Parameters;

/**
 * Base class for commands that start or cancel the drain of an instance. The request is sent to the
 * named instance itself.
 */
abstract class AbstractDrainCommand extends AbstractInstanceCommand {

    private final String mAction;

    @Parameters(
            paramLabel = "INSTANCE",
            converter = IdentifierConverter.class,
            description = "The instance, as 'status' names it.")
    private String mInstance;

    AbstractDrainCommand(CommandContext context, String action) {
        super(context);
        mAction = action;
    }

    @Override
    protected final Either<CommandError, ExitCode> run(OperatorClient client) {
        String path = "v1/instances/" + mInstance + "/" + mAction;
        return MemberFinder.find(client, mInstance)
                .flatMap(member -> MemberFinder.parseAddress(mInstance, member.operatorAddress()))
                .flatMap(address -> translate(client.postTo(address, path)))
                .flatMap(document -> show(client, document));
    }

    private Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document) {
        if (context().isJson()) {
            return Either.right(writeJson(document));
        }
        return translate(client.read(document, StatusAnswer.class))
                .peek(status -> StatusView.show(status, context().page()))
                .map(status -> ExitCode.DONE);
    }
}
