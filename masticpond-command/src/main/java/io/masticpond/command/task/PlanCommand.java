package io.masticpond.command.task;

import com.fasterxml.jackson.databind.JsonNode;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.PlanAnswer;
import io.masticpond.command.view.Page;
import io.masticpond.command.view.PlanView;
import io.masticpond.command.view.Style;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/** Command that submits an intent and shows the resulting plan. */
@Command(
        name = "plan",
        description = "Turn an intent into a plan and show what it would change; changes nothing.")
final class PlanCommand extends AbstractInstanceCommand {

    private static final String STANDARD_INPUT = "-";

    private final InputStream mInput;

    @Parameters(paramLabel = "FILE", description = "The intent in JSON with comments; - is stdin.")
    private String mFile;

    PlanCommand(CommandContext context, InputStream input) {
        super(context);
        mInput = input;
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return read().flatMap(intent -> translate(client.post("v1/intents", intent)))
                .flatMap(
                        document ->
                                context().isJson()
                                        ? Either.right(writeJson(document))
                                        : show(client, document));
    }

    private Either<CommandError, byte[]> read() {
        try {
            return Either.right(
                    mFile.equals(STANDARD_INPUT)
                            ? mInput.readAllBytes()
                            : Files.readAllBytes(Path.of(mFile)));
        } catch (IOException e) {
            return Either.left(
                    CommandError.of(ExitCode.BAD_USAGE, "The file can't be read: " + e + "."));
        }
    }

    private Either<CommandError, ExitCode> show(OperatorClient client, JsonNode document) {
        return translate(client.read(document, PlanAnswer.class))
                .peek(
                        plan -> {
                            Page page = context().page();
                            PlanView.show(plan, page);
                            page.line("Nothing has changed yet. To bring it into force:");
                            page.line("  masticpondctl confirm " + plan.id(), Style.BOLD);
                        })
                .map(plan -> ExitCode.DONE);
    }
}
