package io.masticpond.entry.replica;

import java.util.OptionalLong;

/**
 * What an entry says of the run of the server that wrote it.
 *
 * @param bornMillis when that run began, in Unix milliseconds by the server's own clock; empty if
 *     the server is too old to say so
 * @param sequence counts the server's reports from its start; empty if it does not count
 * @since 0.2
 */
public record ServerReport(OptionalLong bornMillis, OptionalLong sequence) {

    /** Says nothing. */
    public static final ServerReport SILENT =
            new ServerReport(OptionalLong.empty(), OptionalLong.empty());
}
