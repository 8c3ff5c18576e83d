package io.masticpond.measure.quickstart;

import picocli.CommandLine;

/**
 * Entry point that runs the quickstart from the command line.
 *
 * @since 0.1
 */
public final class QuickstartMain {

    private QuickstartMain() {}

    /**
     * Runs the quickstart and exits with its exit code.
     *
     * @param arguments the command-line arguments
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new QuickstartCommand()).execute(arguments));
    }
}
