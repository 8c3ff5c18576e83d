package io.masticpond.core.routing;

import io.masticpond.core.support.Assert;

/**
 * Route of which only the requests are known, since another part of it could not be read. Its
 * requests are refused, so that neither a shorter prefix nor an earlier version serves them.
 *
 * @param host the host of its requests
 * @param pathPrefix the prefix of the path of its requests
 * @since 0.3
 */
public record UnreadableRoute(String host, String pathPrefix) {

    /** Validates the components. */
    public UnreadableRoute {
        Assert.hasText(host, "A host");
        Assert.isTrue(
                pathPrefix != null && pathPrefix.startsWith("/") && pathPrefix.endsWith("/"),
                "A path prefix must begin and end with a slash, but was '%s'.",
                pathPrefix);
    }
}
