package io.masticpond.command.task;

import java.io.PrintWriter;
import java.util.Optional;

/**
 * Where the program writes, and whether a person is there.
 *
 * @since 0.1
 */
public interface Terminal {

    /**
     * Gives standard output.
     *
     * @return the stream
     */
    PrintWriter output();

    /**
     * Gives standard error.
     *
     * @return the stream
     */
    PrintWriter errors();

    /**
     * Tells the width of the terminal on standard output.
     *
     * @return the columns, or empty if it is no terminal
     */
    Optional<Integer> columns();

    /**
     * Asks a person.
     *
     * @param question the question
     * @return the answer, or empty if no person is there
     */
    Optional<String> prompt(String question);
}
