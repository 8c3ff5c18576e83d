package io.masticpond.daemon.operator;

import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Settings of the operator server.
 *
 * @param host the address to listen on
 * @param port the port, or 0 for any
 * @param tokens the accepted operator tokens
 * @param maximumBodyBytes the maximum size of a request body, in bytes
 * @since 0.1
 */
public record OperatorSettings(
        String host, int port, List<OperatorToken> tokens, long maximumBodyBytes) {

    /** Default maximum size of a request body, in bytes. */
    public static final long DEFAULT_MAXIMUM_BODY_BYTES = 8L << 20;

    private static final int MAXIMUM_PORT = 65_535;

    /** Validates the settings and copies the list. */
    public OperatorSettings {
        Assert.hasText(host, "The host of the operator server");
        Assert.isTrue(
                port >= 0 && port <= MAXIMUM_PORT,
                "A port must be from 0 to 65535, but was %d.",
                port);
        tokens = List.copyOf(tokens);
        Assert.positive(maximumBodyBytes, "The maximum body size");
    }
}
