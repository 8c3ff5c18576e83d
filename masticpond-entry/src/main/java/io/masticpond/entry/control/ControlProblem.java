package io.masticpond.entry.control;

/**
 * Problem details (RFC 9457) of a control request that is rejected.
 *
 * @param status the HTTP status
 * @param cause the kind of problem, a fixed identifier
 * @param detail one sentence for the operator
 */
record ControlProblem(int status, String cause, String detail) {

    static ControlProblem badRequest(String cause, String format, Object... values) {
        return new ControlProblem(400, cause, String.format(format, values));
    }

    static ControlProblem notFound(String cause, String format, Object... values) {
        return new ControlProblem(404, cause, String.format(format, values));
    }

    static ControlProblem unavailable(String cause, String detail) {
        return new ControlProblem(503, cause, detail);
    }
}
