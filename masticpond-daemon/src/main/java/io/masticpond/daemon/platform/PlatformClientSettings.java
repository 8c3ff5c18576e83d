package io.masticpond.daemon.platform;

import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.List;

/**
 * Settings of the platform client.
 *
 * @param addresses the addresses of the platform, each as "ip:port", at least one
 * @param callsPerSecond the maximum calls of this process per second
 * @param connectTimeout the timeout of connecting
 * @param callTimeout the timeout of an answer, in addition to the wait of a watch
 * @param attempts the maximum number of attempts of a read
 * @param retryBase the upper bound of the delay before the first retry
 * @param retryMaximum the maximum upper bound of that delay
 * @param breakerThreshold the number of consecutive failures that open a circuit breaker
 * @param breakerBase the upper bound of the first open time of a circuit breaker
 * @param breakerMaximum the maximum upper bound of that time
 * @since 0.1
 */
public record PlatformClientSettings(
        List<String> addresses,
        int callsPerSecond,
        Duration connectTimeout,
        Duration callTimeout,
        int attempts,
        Duration retryBase,
        Duration retryMaximum,
        int breakerThreshold,
        Duration breakerBase,
        Duration breakerMaximum) {

    private static final Duration DEFAULT_CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration DEFAULT_CALL_TIMEOUT = Duration.ofSeconds(2);
    private static final int DEFAULT_ATTEMPTS = 3;
    private static final Duration DEFAULT_RETRY_BASE = Duration.ofMillis(50);
    private static final Duration DEFAULT_RETRY_MAXIMUM = Duration.ofSeconds(1);
    private static final int DEFAULT_BREAKER_THRESHOLD = 5;
    private static final Duration DEFAULT_BREAKER_BASE = Duration.ofMillis(500);
    private static final Duration DEFAULT_BREAKER_MAXIMUM = Duration.ofSeconds(5);

    /** Validates the settings and copies the list. */
    public PlatformClientSettings {
        addresses = List.copyOf(Assert.notEmpty(addresses, "The addresses of the platform"));
        Assert.positive(callsPerSecond, "A budget of calls per second");
        Assert.positive(attempts, "A number of attempts");
        Assert.positive(breakerThreshold, "The threshold of a breaker");
    }

    /**
     * Creates settings with the default timeouts, retries and circuit breaker.
     *
     * @param addresses the addresses of the platform
     * @param callsPerSecond the maximum calls of this process per second
     * @return the settings
     */
    public static PlatformClientSettings of(List<String> addresses, int callsPerSecond) {
        return new PlatformClientSettings(
                addresses,
                callsPerSecond,
                DEFAULT_CONNECT_TIMEOUT,
                DEFAULT_CALL_TIMEOUT,
                DEFAULT_ATTEMPTS,
                DEFAULT_RETRY_BASE,
                DEFAULT_RETRY_MAXIMUM,
                DEFAULT_BREAKER_THRESHOLD,
                DEFAULT_BREAKER_BASE,
                DEFAULT_BREAKER_MAXIMUM);
    }
}
