package io.masticpond.testing;

import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Main class that runs stand-ins for external systems, for tests and manual trials.
 *
 * @since 0.1
 */
@Command(
        name = "masticpond-standin",
        description = "Runs stand-ins for the platform and for backend servers on loopback.",
        mixinStandardHelpOptions = true,
        version = "masticpond-standin 0.1.0",
        subcommands = {PlatformCommand.class, BackendsCommand.class})
public final class StandInMain implements Runnable {

    private static final String LOGGING = "logback.configurationFile";
    private static final String LOGGING_FILE = "masticpond-standin-logback.xml";

    @Spec private CommandSpec mSpec;

    private StandInMain() {}

    /**
     * Runs the program until it is terminated by a signal.
     *
     * @param arguments command line arguments
     */
    public static void main(String[] arguments) {
        if (System.getProperty(LOGGING) == null) {
            System.setProperty(LOGGING, LOGGING_FILE);
        }
        int exitCode = new CommandLine(new StandInMain()).execute(arguments);
        if (exitCode != CommandLine.ExitCode.OK) {
            System.exit(exitCode);
        }
    }

    @Override
    public void run() {
        throw new ParameterException(mSpec.commandLine(), "Say which stand-in to run.");
    }
}
