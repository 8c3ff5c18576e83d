package io.masticpond.measure.quickstart;

import picocli.CommandLine;

/**
 * Main class of the quickstart.
 *
 * @since 0.1
 */
public final class QuickstartMain {

    private QuickstartMain() {}

    /**
     * Runs the quickstart.
     *
     * @param arguments the arguments of the command line
     */
    public static void main(String[] arguments) {
        System.exit(new CommandLine(new QuickstartCommand()).execute(arguments));
    }
}
