package io.masticpond.command.task;

import java.util.concurrent.Callable;
import picocli.AutoComplete;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/** Command that writes a completion script for bash and zsh. */
@Command(
        name = "completion",
        description = "Write a completion script: source <(masticpondctl completion)")
final class CompletionCommand implements Callable<Integer> {

    private final CommandContext mContext;

    @Spec private CommandSpec mSpec;

    CompletionCommand(CommandContext context) {
        mContext = context;
    }

    @Override
    public Integer call() {
        CommandSpec root = mSpec.root();
        mContext.terminal().output().println(AutoComplete.bash(root.name(), root.commandLine()));
        return ExitCode.DONE.code();
    }
}
