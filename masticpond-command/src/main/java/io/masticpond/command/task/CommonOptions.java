package io.masticpond.command.task;

import io.masticpond.command.client.InstanceAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import picocli.CommandLine.Option;
import picocli.CommandLine.ScopeType;

/**
 * Options that every subcommand accepts.
 *
 * @since 0.1
 */
public final class CommonOptions {

    private static final String DEFAULT_TIMEOUT = "3s";

    @Option(
            names = "--instances",
            scope = ScopeType.INHERIT,
            paramLabel = "IP:PORT[,...]",
            converter = InstancesConverter.class,
            description = {
                "Operator interfaces of instances; the next is asked when one does not answer.",
                "Default: MASTICPOND_INSTANCES."
            })
    private List<InstanceAddress> mInstances;

    @Option(
            names = "--token-file",
            scope = ScopeType.INHERIT,
            paramLabel = "FILE",
            description = "File with the operator's token. Default: MASTICPOND_TOKEN.")
    private Path mTokenFile;

    @Option(
            names = "--timeout",
            scope = ScopeType.INHERIT,
            paramLabel = "DURATION",
            converter = DurationConverter.class,
            defaultValue = DEFAULT_TIMEOUT,
            description =
                    "How long each instance has to answer, such as 500ms, 3s or 1m"
                            + " (${DEFAULT-VALUE}).")
    private Duration mTimeout;

    @Option(
            names = "--output",
            scope = ScopeType.INHERIT,
            paramLabel = "FORMAT",
            defaultValue = "table",
            description = "table, json, or html for the time line (${DEFAULT-VALUE}).")
    private OutputFormat mOutput;

    @Option(
            names = "--no-color",
            scope = ScopeType.INHERIT,
            description = "No colours, also on a terminal. NO_COLOR does the same.")
    private boolean mNoColor;

    /** Returns the instances to query, or {@code null} if the option is absent. */
    List<InstanceAddress> instances() {
        return mInstances;
    }

    /** Returns the token file, or {@code null} if the option is absent. */
    Path tokenFile() {
        return mTokenFile;
    }

    /** Returns the time that each instance has to respond. */
    Duration timeout() {
        return mTimeout;
    }

    /** Returns the format of standard output. */
    OutputFormat output() {
        return mOutput;
    }

    /** Returns whether colours are disabled. */
    boolean noColor() {
        return mNoColor;
    }
}
