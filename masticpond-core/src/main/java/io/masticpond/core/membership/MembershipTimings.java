package io.masticpond.core.membership;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Timings of the membership protocol. Inactivity is measured from the last heartbeat of a run.
 *
 * @param heartbeat the interval between heartbeats
 * @param updateRequest the inactivity after which other instances are queried for an update
 * @param suspect the inactivity after which a run is suspected and receives no new work
 * @param dead the inactivity after which a run is declared dead
 * @param forget the time from the claim that a run is dead until its record is removed; an instance
 *     that the platform lists is then an expected one again
 * @param pause the length of a pause of this process from which it considers its own view stale
 * @since 0.1
 */
public record MembershipTimings(
        Duration heartbeat,
        Duration updateRequest,
        Duration suspect,
        Duration dead,
        Duration forget,
        Duration pause) {

    /** Defaults that detect a dead process within three seconds of its last heartbeat. */
    public static final MembershipTimings DEFAULT =
            new MembershipTimings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(1_500),
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(2_800),
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(1));

    /** Validates the order of the timings. */
    public MembershipTimings {
        Assert.isTrue(
                heartbeat.compareTo(updateRequest) < 0
                        && updateRequest.compareTo(suspect) < 0
                        && suspect.compareTo(dead) < 0,
                "The timings must increase in the order heartbeat, updateRequest, suspect, dead.");
    }
}
