package io.masticpond.command.task;

import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.EntryResponses;
import io.vavr.control.Either;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Merges what all instances decided about a request, and what they believed. */
@Command(
        name = "timeline",
        description = {
            "Show what all instances decided about a request, and what they believed.",
            "Lines stand by the wall times of their instances. Who does not answer is named."
        })
final class EntryTimelineCommand extends AbstractEntryCommand {

    private static final String DEFAULT_BELIEFS = "20";

    @Option(
            names = "--request",
            paramLabel = "ID",
            description = "The id of the request as its client gave it. Without: beliefs alone.")
    private String mRequest;

    @Option(
            names = "--beliefs",
            paramLabel = "COUNT",
            defaultValue = DEFAULT_BELIEFS,
            description = "How many changes of each instance at most, 0 to 512 (${DEFAULT-VALUE}).")
    private int mBeliefs;

    EntryTimelineCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return queryAll(client, path()).map(this::show);
    }

    private String path() {
        String path = "v1/timeline?beliefs=" + mBeliefs;
        return mRequest == null
                ? path
                : path + "&request=" + URLEncoder.encode(mRequest, StandardCharsets.UTF_8);
    }

    private ExitCode show(EntryResponses parts) {
        if (context().isJson()) {
            parts.lineDocuments().forEach(context()::writeJson);
        } else {
            parts.showLines(context().page());
        }
        return ended(parts);
    }
}
