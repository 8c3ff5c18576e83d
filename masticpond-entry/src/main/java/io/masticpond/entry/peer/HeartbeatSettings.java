package io.masticpond.entry.peer;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * How often heartbeats are sent and what silence means.
 *
 * @param period the time between heartbeats to a neighbor
 * @param suspectAfter the silence after which an instance is not named while others are there
 * @param deadAfter the silence after which it counts as gone
 * @param claimTimeout how long others' word that an instance is silent can be refuted before it
 *     counts
 * @param cutOffFor how long a silent instance that did not leave is counted among those that may be
 *     sending requests
 * @param idleAfter the silence after which it gets fewer heartbeats
 * @param idlePeriod the time between these
 * @param forgetAfter the silence after which it is forgotten
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
     * The settings that suit most deployments: one lost datagram makes nobody a suspect, two do,
     * three make it gone.
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

    /** Checks that the times are in order. */
    public HeartbeatSettings {
        Assert.isTrue(
                period.compareTo(suspectAfter) < 0 && suspectAfter.compareTo(deadAfter) < 0,
                "Heartbeats must come sooner (%s) than suspicion (%s), and that sooner than %s.",
                period,
                suspectAfter,
                deadAfter);
        Assert.isTrue(
                deadAfter.compareTo(idleAfter) < 0 && idleAfter.compareTo(forgetAfter) < 0,
                "An instance must be gone (%s) before it gets less (%s) and is forgotten (%s).",
                deadAfter,
                idleAfter,
                forgetAfter);
    }
}
