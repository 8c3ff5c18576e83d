package io.masticpond.daemon.backend;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of the health checks of backend servers.
 *
 * @param period the mean time between two health probes of a server; two of them must fit into the
 *     time after which a leaving server must get no more work
 * @param healthProbesPerLoadProbe the number of health probes after which a load probe is sent too
 * @param timeout the maximum time until the response to a probe is complete
 * @since 0.1
 */
public record BackendHealthSettings(
        Duration period, int healthProbesPerLoadProbe, Duration timeout) {

    /**
     * The default settings, which detect a signal in a health response within 1.3 s, and
     * connections that the server closes within 2 s.
     */
    public static final BackendHealthSettings DEFAULT =
            new BackendHealthSettings(Duration.ofMillis(600), 8, Duration.ofMillis(500));

    /** Validates the components. */
    public BackendHealthSettings {
        Assert.positive(period.toNanos(), "A period of health checks");
        Assert.positive(healthProbesPerLoadProbe, "A number of health probes per load probe");
        Assert.positive(timeout.toNanos(), "A timeout of health checks");
    }
}
