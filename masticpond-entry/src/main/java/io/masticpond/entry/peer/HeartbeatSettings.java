package io.masticpond.entry.peer;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of the heartbeats between instances and of the failure detection that is based on them.
 *
 * @param period the interval between heartbeats to a neighbor
 * @param suspectAfter the inactivity after which an instance is suspect and no longer named to
 *     clients while others are available
 * @param deadAfter the inactivity after which an instance counts as unreachable
 * @param claimTimeout how long a claim by others that an instance is unresponsive can be overridden
 *     before it takes effect
 * @param cutOffFor how long an unresponsive instance that did not leave is counted among those that
 *     may be sending requests
 * @param idleAfter the inactivity after which an instance is sent fewer heartbeats
 * @param idlePeriod the interval between these heartbeats
 * @param forgetAfter the inactivity after which an instance is forgotten
 * @since 0.2
 */
public record HeartbeatSettings(
        Duration period,
        Duration suspectAfter,
        Duration deadAfter,
        Duration claimTimeout,
        Duration cutOffFor,
        Duration idleAfter,
        Duration idlePeriod,
        Duration forgetAfter) {

    /**
     * Default settings. One lost datagram makes no instance suspect; two make it suspect, and with
     * three it counts as unreachable.
     */
    public static final HeartbeatSettings DEFAULT =
            new HeartbeatSettings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(2300),
                    Duration.ofMillis(3200),
                    Duration.ofMillis(500),
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(15),
                    Duration.ofSeconds(5),
                    Duration.ofMinutes(10));

    /** Validates the order of the durations. */
    public HeartbeatSettings {
        Assert.isTrue(
                period.compareTo(suspectAfter) < 0 && suspectAfter.compareTo(deadAfter) < 0,
                "The heartbeat period (%s) must be below suspectAfter (%s), and that below"
                        + " deadAfter (%s).",
                period,
                suspectAfter,
                deadAfter);
        Assert.isTrue(
                deadAfter.compareTo(idleAfter) < 0 && idleAfter.compareTo(forgetAfter) < 0,
                "deadAfter (%s) must be below idleAfter (%s), and that below forgetAfter (%s).",
                deadAfter,
                idleAfter,
                forgetAfter);
    }
}
