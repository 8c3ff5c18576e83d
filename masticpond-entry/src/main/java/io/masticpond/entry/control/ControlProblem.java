package io.masticpond.entry.control;

import io.netty.handler.codec.http.HttpMethod;
import java.util.List;

/**
 * Problem details (RFC 9457) of a control request that is rejected.
 *
 * @param status the HTTP status
 * @param cause the kind of problem, a fixed identifier
 * @param detail one sentence for the operator
 * @param allowedMethods the methods that the document allows if the requested one is not among
 *     them; otherwise empty
 */
record ControlProblem(int status, String cause, String detail, List<HttpMethod> allowedMethods) {

    private static final int METHOD_NOT_ALLOWED = 405;

    ControlProblem {
        allowedMethods = List.copyOf(allowedMethods);
    }

    ControlProblem(int status, String cause, String detail) {
        this(status, cause, detail, List.of());
    }

    static ControlProblem methodNotAllowed(List<HttpMethod> allowedMethods, String detail) {
        return new ControlProblem(METHOD_NOT_ALLOWED, "method-not-allowed", detail, allowedMethods);
    }

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
