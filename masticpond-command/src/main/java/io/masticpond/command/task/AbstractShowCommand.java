package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.Page;
import io.vavr.control.Either;

/**
 * Base class for commands that get one document and show it, as JSON without changes or as a table.
 *
 * @since 0.1
 */
abstract class AbstractShowCommand extends AbstractInstanceCommand {

    private final String mPath;

    AbstractShowCommand(CommandContext context, String path) {
        super(context);
        mPath = path;
    }

    @Override
    protected final Either<CommandError, ExitCode> run(OperatorClient client) {
        return translate(client.get(mPath))
                .flatMap(
                        document ->
                                context().isJson()
                                        ? Either.right(writeJson(document))
                                        : show(client, document, context().page()));
    }

    /** Shows the document as a table. */
    abstract Either<CommandError, ExitCode> show(
            OperatorClient client, JsonNode document, Page page);
}
