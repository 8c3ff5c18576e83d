package io.masticpond.core.routing;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Limits of the size and duration of a client's requests.
 *
 * @param headerBytes the maximum length in bytes of the request line and headers together
 * @param bodyBytes the maximum length of a body in bytes
 * @param headerTimeout the maximum time for receiving the request line and headers, from their
 *     first byte
 * @param idleTimeout the maximum time for which a connection may be idle between requests
 * @since 0.2
 */
public record RequestLimits(
        int headerBytes, long bodyBytes, Duration headerTimeout, Duration idleTimeout) {

    /** The limits that apply before a configuration is known. */
    public static final RequestLimits DEFAULT =
            new RequestLimits(
                    16_384, 64L * 1024 * 1024, Duration.ofSeconds(3), Duration.ofSeconds(15));

    /** Validates the limits. */
    public RequestLimits {
        Assert.positive(headerBytes, "The limit of header bytes");
        Assert.notNegative(bodyBytes, "The limit of body bytes");
        Assert.positive(headerTimeout.toNanos(), "A header timeout");
        Assert.positive(idleTimeout.toNanos(), "An idle timeout");
    }
}
