package io.masticpond.command.task;

import io.masticpond.command.client.ClientError;
import io.masticpond.command.client.PlanAnswer.Difference;
import io.masticpond.command.client.Problem;
import java.util.ArrayList;
import java.util.List;

/**
 * Error with which a command ends.
 *
 * @param exitCode the exit code of the program
 * @param message a description of the error, one sentence
 * @param details the details that an operator should look at, one line each
 * @param differences the changes made since the base version of a plan
 * @since 0.1
 */
public record CommandError(
        ExitCode exitCode, String message, List<String> details, List<Difference> differences) {

    /**
     * Creates an error without details.
     *
     * @param exitCode the exit code of the program
     * @param message a description of the error, one sentence
     * @return the error
     */
    static CommandError of(ExitCode exitCode, String message) {
        return new CommandError(exitCode, message, List.of(), List.of());
    }

    /**
     * Creates a command error from an error of the client.
     *
     * @param error the error of the client
     * @return the error
     */
    static CommandError of(ClientError error) {
        if (error instanceof ClientError.Conflict conflict) {
            return of(ExitCode.CONFLICT, conflict.problem());
        }
        if (error instanceof ClientError.Refused refused) {
            return of(ExitCode.REFUSED, refused.problem());
        }
        return of(exitCodeOf(error), error.message());
    }

    private static CommandError of(ExitCode exitCode, Problem problem) {
        List<String> details = new ArrayList<>();
        for (Problem.Fault fault : problem.faults()) {
            details.add(fault.path() + ": " + fault.message());
        }
        return new CommandError(exitCode, problem.detail(), details, problem.differences());
    }

    private static ExitCode exitCodeOf(ClientError error) {
        if (error instanceof ClientError.Unreachable) {
            return ExitCode.UNREACHABLE;
        }
        return error instanceof ClientError.Unauthorized ? ExitCode.REFUSED : ExitCode.FAILED;
    }
}
