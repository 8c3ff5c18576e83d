package io.masticpond.command.client;

import io.masticpond.command.client.PlanAnswer.Difference;
import java.util.List;

/**
 * Problem document with which an instance responds to a failed request (RFC 9457).
 *
 * @param status the HTTP status
 * @param cause a stable identifier of the cause, such as {@code base-changed}
 * @param detail an explanation for operators, one sentence
 * @param faults the faults of the submitted document
 * @param differences the changes made since the base version of a plan
 * @since 0.1
 */
public record Problem(
        int status, String cause, String detail, List<Fault> faults, List<Difference> differences) {

    /** Replaces absent values with defaults. */
    public Problem {
        cause = cause == null ? "" : cause;
        detail = detail == null || detail.isBlank() ? "The instance gave no reason." : detail;
        faults = faults == null ? List.of() : List.copyOf(faults);
        differences = differences == null ? List.of() : List.copyOf(differences);
    }

    /**
     * Fault in a submitted document.
     *
     * @param path the path in the document
     * @param message a description of the fault, one sentence
     */
    public record Fault(String path, String message) {}
}
