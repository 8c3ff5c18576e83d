package io.masticpond.entry.control;

/**
 * Why a question is not answered (RFC 9457).
 *
 * @param status the HTTP status
 * @param cause a fixed word
 * @param detail one sentence for people
 */
record ControlProblem(int status, String cause, String detail) {

    static ControlProblem badRequest(String cause, String form, Object... values) {
        return new ControlProblem(400, cause, String.format(form, values));
    }

    static ControlProblem notFound(String cause, String form, Object... values) {
        return new ControlProblem(404, cause, String.format(form, values));
    }

    static ControlProblem unavailable(String cause, String detail) {
        return new ControlProblem(503, cause, detail);
    }
}
