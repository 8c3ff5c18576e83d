package io.masticpond.core.configuration;

import io.masticpond.core.id.OperationName;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.support.Assert;

/**
 * Specification of an operation of a service: the requests with a method and a path prefix.
 *
 * @param name the operation
 * @param method the HTTP method in capitals
 * @param pathPrefix the prefix of the path, which starts with a slash
 * @param kind the kind of the operation, which determines the effect of repeating it
 * @param priority the priority of the work, 0 to 9; requests with a higher number are refused later
 * @since 0.1
 */
public record OperationSpecification(
        OperationName name, String method, String pathPrefix, OperationKind kind, int priority) {

    /** Validates the components. */
    public OperationSpecification {
        Assert.notNull(name, "An operation name");
        Assert.hasText(method, "A method");
        Assert.isTrue(
                pathPrefix != null && pathPrefix.startsWith("/"),
                "A path prefix must start with a slash, but was '%s'.",
                pathPrefix);
        Assert.notNull(kind, "An operation kind");
        Assert.isTrue(
                priority >= 0 && priority <= RequestHead.MAXIMUM_PRIORITY,
                "A priority must be from 0 to 9, but was %d.",
                priority);
    }

    /**
     * Determines whether a request matches this operation.
     *
     * @param requestMethod the HTTP method in capitals
     * @param path the path below the service
     * @return {@code true} if method and path match
     */
    public boolean matches(String requestMethod, String path) {
        return method.equals(requestMethod) && path.startsWith(pathPrefix);
    }
}
