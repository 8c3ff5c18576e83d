package io.masticpond.command.task;

import java.io.PrintWriter;
import java.util.Optional;

/**
 * Terminal that the program writes to and prompts on.
 *
 * @since 0.1
 */
public interface Terminal {

    /**
     * Returns the writer for standard output.
     *
     * @return the writer
     */
    PrintWriter output();

    /**
     * Returns the writer for standard error.
     *
     * @return the writer
     */
    PrintWriter errors();

    /**
     * Returns the width of the terminal on standard output.
     *
     * @return the number of columns, or empty if standard output is not a terminal
     */
    Optional<Integer> columns();

    /**
     * Prompts the operator.
     *
     * @param question the text of the prompt
     * @return the operator's reply, or empty if the program is not interactive
     */
    Optional<String> prompt(String question);
}
