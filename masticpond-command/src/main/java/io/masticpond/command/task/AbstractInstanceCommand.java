package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.ClientError;
import io.masticpond.command.client.OperatorClient;
import io.vavr.control.Either;
import java.util.concurrent.Callable;

/**
 * Base class for commands that query instances.
 *
 * @since 0.1
 */
public abstract class AbstractInstanceCommand implements Callable<Integer> {

    private final CommandContext mContext;

    /**
     * Creates a command.
     *
     * @param context the shared context of commands
     */
    protected AbstractInstanceCommand(CommandContext context) {
        mContext = context;
    }

    @Override
    public final Integer call() {
        if (mContext.options().output() == OutputFormat.HTML && !supportsHtml()) {
            return mContext.report(
                    CommandError.of(ExitCode.BAD_USAGE, "Only the time line is written as html."));
        }
        return connect().flatMap(this::runAndClose).fold(mContext::report, ExitCode::code);
    }

    /**
     * Runs the command.
     *
     * @param client the client with which to query the instances
     * @return the exit code, or the error
     */
    protected abstract Either<CommandError, ExitCode> run(OperatorClient client);

    /** Creates the client with which the command queries the instances. */
    Either<CommandError, OperatorClient> connect() {
        return mContext.connect();
    }

    /** Returns whether the command supports HTML output. */
    boolean supportsHtml() {
        return false;
    }

    /** Returns the shared context of commands. */
    final CommandContext context() {
        return mContext;
    }

    /** Gets a document from the first instance that responds and converts it to the given type. */
    final <T> Either<CommandError, T> get(OperatorClient client, String path, Class<T> type) {
        return translate(client.get(path).flatMap(document -> client.read(document, type)));
    }

    /** Translates an error of the client to a command error. */
    static <T> Either<CommandError, T> translate(Either<ClientError, T> answer) {
        return answer.mapLeft(CommandError::of);
    }

    /** Writes a document as JSON. */
    final ExitCode writeJson(JsonNode document) {
        mContext.writeJson(document);
        return ExitCode.DONE;
    }

    private Either<CommandError, ExitCode> runAndClose(OperatorClient client) {
        try (client) {
            return run(client);
        }
    }
}
