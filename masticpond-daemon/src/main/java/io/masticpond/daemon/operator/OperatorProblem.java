package io.masticpond.daemon.operator;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.javalin.http.Context;
import io.masticpond.core.configuration.ConfigurationDifference;
import io.masticpond.core.configuration.ConfigurationFault;
import java.util.List;

/**
 * Problem document that answers a failed request of an operator (RFC 9457).
 *
 * @param status the HTTP status
 * @param cause a stable machine-readable cause, such as "base-changed"
 * @param detail one human-readable sentence
 * @param faults all faults of the submitted document
 * @param differences the changes since the base of a plan
 * @since 0.1
 */
@JsonInclude(JsonInclude.Include.NON_EMPTY)
public record OperatorProblem(
        int status,
        String cause,
        String detail,
        List<ConfigurationFault> faults,
        List<ConfigurationDifference> differences) {

    private static final String CONTENT_TYPE = "application/problem+json";
    private static final ObjectMapper sMapper = new ObjectMapper();

    /**
     * Creates a problem without faults and differences.
     *
     * @param status the HTTP status
     * @param cause a stable machine-readable cause
     * @param detail one human-readable sentence
     * @return the problem
     */
    public static OperatorProblem of(int status, String cause, String detail) {
        return new OperatorProblem(status, cause, detail, List.of(), List.of());
    }

    /**
     * Answers a request with this problem.
     *
     * @param context the context of the request
     */
    public void answer(Context context) {
        try {
            context.status(status)
                    .contentType(CONTENT_TYPE)
                    .result(sMapper.writeValueAsBytes(this));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("Failed to serialize a problem document.", e);
        }
    }
}
