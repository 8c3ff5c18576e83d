package io.masticpond.command.task;

import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryResponses;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command that merges the decisions of all instances about a request with the changes of their
 * views.
 */
@Command(
        name = "timeline",
        description = {
            "Show what all instances decided about a request, and what they believed.",
            "Lines stand by the wall times of their instances. Who does not answer is named."
        })
final class EntryTimelineCommand extends AbstractEntryCommand {

    private static final String DEFAULT_VIEW_CHANGES = "20";

    @Option(
            names = "--request",
            paramLabel = "ID",
            description = "The id of the request as its client gave it. Without: beliefs alone.")
    private String mRequest;

    @Option(
            names = "--beliefs",
            paramLabel = "COUNT",
            defaultValue = DEFAULT_VIEW_CHANGES,
            description = "How many changes of each instance at most, 0 to 512 (${DEFAULT-VALUE}).")
    private int mMaximumViewChanges;

    EntryTimelineCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return queryAll(client, path()).map(this::show);
    }

    private String path() {
        String path = "v1/timeline?beliefs=" + mMaximumViewChanges;
        return mRequest == null
                ? path
                : path + "&request=" + URLEncoder.encode(mRequest, StandardCharsets.UTF_8);
    }

    private ExitCode show(EntryResponses responses) {
        if (context().isJson()) {
            responses.lineDocuments().forEach(context()::writeJson);
        } else {
            responses.showLines(context().page());
        }
        return exitCodeFor(responses);
    }
}
