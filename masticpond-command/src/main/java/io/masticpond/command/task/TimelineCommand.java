package io.masticpond.command.task;

import io.masticpond.command.client.OperatorClient;
import io.masticpond.command.view.Lane;
import io.masticpond.command.view.MergedTimeline;
import io.vavr.control.Either;
import java.time.Duration;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Command that merges the events of all instances in causal order. */
@Command(
        name = "timeline",
        description = {
            "Show the events of all instances in causal order.",
            "Instances that are dead or do not answer are named."
        })
final class TimelineCommand extends AbstractInstanceCommand {

    private static final String DEFAULT_SINCE = "5m";
    private static final String DEFAULT_LIMIT = "1000";

    @Option(
            names = "--since",
            paramLabel = "DURATION",
            converter = DurationConverter.class,
            defaultValue = DEFAULT_SINCE,
            description =
                    "How far back, by each instance's own clock, such as 30s, 5m or 2h"
                            + " (${DEFAULT-VALUE}).")
    private Duration mSince;

    @Option(
            names = "--service",
            paramLabel = "SERVICE",
            converter = IdentifierConverter.class,
            description = "Only events of this service.")
    private String mService;

    @Option(
            names = "--request",
            paramLabel = "ID",
            converter = IdentifierConverter.class,
            description = "Only events of this request, plan or other object.")
    private String mRequest;

    @Option(
            names = "--limit",
            paramLabel = "COUNT",
            defaultValue = DEFAULT_LIMIT,
            description = "How many events of each instance at most (${DEFAULT-VALUE}).")
    private int mLimit;

    TimelineCommand(CommandContext context) {
        super(context);
    }

    @Override
    protected Either<CommandError, ExitCode> run(OperatorClient client) {
        return new TimelineCollector(client).collect(path()).map(this::show);
    }

    @Override
    boolean supportsHtml() {
        return true;
    }

    private String path() {
        StringBuilder path = new StringBuilder("v1/timeline?sinceMillis=");
        path.append(mSince.toMillis()).append("&limit=").append(mLimit);
        if (mService != null) {
            path.append("&service=").append(mService);
        }
        if (mRequest != null) {
            path.append("&request=").append(mRequest);
        }
        return path.toString();
    }

    private ExitCode show(MergedTimeline timeline) {
        context().options().output().write(timeline, context());
        boolean isComplete = timeline.lanes().stream().noneMatch(Lane::isMissing);
        return isComplete ? ExitCode.DONE : ExitCode.PARTIAL;
    }
}
