package io.masticpond.core.reachability;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the detection of unreachable services and for the forwarding of their requests.
 *
 * @param silence the time without any answer after which pending requests raise a suspicion
 * @param failureWindow the time within which connections to several servers must fail to raise a
 *     suspicion, and the longest time for which a refuted suspicion is not raised again
 * @param probes the number of servers that are probed to confirm a suspicion
 * @param probeInterval the time between two probes of an unreachable service
 * @param ramp the time over which requests return to the servers of a service that is reachable
 *     again
 * @param peerMemory the time for which a statement of another instance holds that it does not reach
 *     a service either
 * @param forwardedRequests the maximum number of requests that this instance processes for others
 *     concurrently
 * @since 0.3
 */
public record ReachabilitySettings(
        Duration silence,
        Duration failureWindow,
        int probes,
        Duration probeInterval,
        Duration ramp,
        Duration peerMemory,
        int forwardedRequests) {

    /** Default settings, used where a platform specifies none. */
    public static final ReachabilitySettings DEFAULT =
            new ReachabilitySettings(
                    Duration.ofMillis(500),
                    Duration.ofSeconds(1),
                    3,
                    Duration.ofMillis(250),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(1),
                    256);

    /** Validates that all components are positive. */
    public ReachabilitySettings {
        Assert.positive(silence.toNanos(), "The time without any answer");
        Assert.positive(failureWindow.toNanos(), "The window of failed connections");
        Assert.positive(probes, "A number of probes");
        Assert.positive(probeInterval.toNanos(), "The interval of probes");
        Assert.positive(ramp.toNanos(), "A ramp");
        Assert.positive(peerMemory.toNanos(), "The memory of statements of other instances");
        Assert.positive(forwardedRequests, "A number of forwarded requests");
    }
}
