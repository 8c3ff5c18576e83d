package io.masticpond.measure;

import picocli.CommandLine;

/**
 * Entry point that runs measures from the command line.
 *
 * @since 0.1
 */
public final class MeasureMain {

    private MeasureMain() {}

    /**
     * Runs the command and exits with its exit code.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        System.setProperty("java.awt.headless", "true");
        System.setProperty("logback.configurationFile", "logback-measure.xml");
        System.exit(new CommandLine(new MeasureCommand(MeasureRegistry.all())).execute(arguments));
    }
}
