package io.masticpond.command;

import io.masticpond.command.task.Commands;

/**
 * Entry point of the operators' command line, {@code masticpondctl}.
 *
 * @since 0.1
 */
public final class Masticpondctl {

    private Masticpondctl() {}

    /**
     * Runs the program.
     *
     * @param arguments the command line arguments
     */
    public static void main(String[] arguments) {
        System.exit(Commands.run(arguments, new SystemTerminal(), System.getenv(), System.in));
    }
}
