package io.masticpond.entry.replica;

import java.util.OptionalLong;

/**
 * Statement of a server's entry about the run of the server that wrote it.
 *
 * @param bornMillis the start time of the run, in Unix milliseconds by the server's own clock;
 *     empty if the server's version does not report it
 * @param sequence the number of the report, counted from the server's start; empty if the server
 *     does not count
 * @since 0.2
 */
public record ServerReport(OptionalLong bornMillis, OptionalLong sequence) {

    /** Report without any statement. */
    public static final ServerReport UNKNOWN =
            new ServerReport(OptionalLong.empty(), OptionalLong.empty());
}
