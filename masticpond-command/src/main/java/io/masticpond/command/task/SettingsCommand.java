package io.masticpond.command.task;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Parent command of the commands for settings files of the daemon. */
@Command(name = "settings", description = "Work with settings files of the daemon.")
final class SettingsCommand implements Callable<Integer> {

    @Spec private CommandSpec mSpec;

    @Override
    public Integer call() {
        throw new ParameterException(mSpec.commandLine(), "Missing subcommand, such as 'check'.");
    }
}
