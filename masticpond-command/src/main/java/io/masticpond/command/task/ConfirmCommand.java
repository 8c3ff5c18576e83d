package io.masticpond.command.task;

import io.masticpond.command.client.ConfirmedAnswer;
import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.client.PlanAnswer;
import io.masticpond.command.view.PlanView;
import io.masticpond.command.view.Style;
import io.vavr.control.Either;
import java.util.Optional;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

/** Command that shows a plan again, prompts for confirmation, and brings the plan into force. */
@Command(name = "confirm", description = "Bring a plan into force.")
final class ConfirmCommand extends AbstractInstanceCommand {

    private static final String YES = "yes";
    private static final byte[] NO_BODY = {};

    @Parameters(
            paramLabel = "PLAN",
            converter = IdentifierConverter.class,
            description = "The id that 'plan' has shown.")
    private String mPlan;

    @Option(names = "--yes", description = "Don't ask; needed where there is no terminal.")
    private boolean mYes;

    ConfirmCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return (mYes ? Either.<CommandError, Boolean>right(true) : promptForConfirmation(client))
                .flatMap(
                        confirmed ->
                                confirmed
                                        ? confirm(client)
                                        : Either.left(
                                                CommandError.of(
                                                        ExitCode.DECLINED,
                                                        "Not confirmed; nothing has changed.")));
    }

    private Either<CommandError, Boolean> promptForConfirmation(OperatorClient client) {
        return get(client, "v1/plans/" + mPlan, PlanAnswer.class)
                .flatMap(this::promptForConfirmation);
    }

    private Either<CommandError, Boolean> promptForConfirmation(PlanAnswer plan) {
        if (!context().isJson()) {
            PlanView.show(plan, context().page());
            context().terminal().output().flush();
        }
        Optional<String> answer =
                context().terminal().prompt("Bring it into force? Type yes to confirm: ");
        if (answer.isEmpty()) {
            return Either.left(
                    CommandError.of(
                            ExitCode.DECLINED,
                            "There is no terminal to ask on; confirm with --yes."));
        }
        return Either.right(answer.get().trim().equalsIgnoreCase(YES));
    }

    private Either<CommandError, ExitCode> confirm(OperatorClient client) {
        return translate(client.post("v1/plans/" + mPlan + "/confirm", NO_BODY))
                .flatMap(
                        document ->
                                context().isJson()
                                        ? Either.right(writeJson(document))
                                        : translate(client.read(document, ConfirmedAnswer.class))
                                                .map(this::show));
    }

    private ExitCode show(ConfirmedAnswer confirmed) {
        context()
                .page()
                .line(
                        "Plan "
                                + confirmed.plan()
                                + " is accepted as version "
                                + confirmed.version()
                                + ".",
                        Style.GOOD);
        return ExitCode.DONE;
    }
}
