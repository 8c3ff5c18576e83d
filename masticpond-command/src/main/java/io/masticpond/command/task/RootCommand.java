package io.masticpond.command.task;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.ScopeType;
import picocli.CommandLine.Spec;

/**
 * Root command of the program. Without a subcommand it reports bad usage.
 *
 * @since 0.1
 */
@Command(
        name = "masticpondctl",
        mixinStandardHelpOptions = true,
        scope = ScopeType.INHERIT,
        versionProvider = VersionProvider.class,
        description = "Operates masticpond through the operator interface of its instances.",
        synopsisSubcommandLabel = "COMMAND",
        sortOptions = false)
public final class RootCommand implements Callable<Integer> {

    @Mixin private final CommonOptions mOptions;

    @Spec private CommandSpec mSpec;

    /**
     * Creates the command.
     *
     * @param options the object that receives the common options
     */
    public RootCommand(CommonOptions options) {
        mOptions = options;
    }

    @Override
    public Integer call() {
        throw new ParameterException(mSpec.commandLine(), "Missing command.");
    }
}
