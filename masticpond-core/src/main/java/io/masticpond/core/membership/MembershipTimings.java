package io.masticpond.core.membership;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * The times of membership, all counted from the last heartbeat of a run.
 *
 * @param heartbeat the time from one heartbeat to the next
 * @param updateRequest after how long without a heartbeat other instances are asked
 * @param suspect after how long a run is suspected and takes no new work
 * @param dead after how long it counts as dead
 * @param forget after how long a dead run that the platform does not list is forgotten
 * @param pause how long this process must have stood still to distrust its own view
 * @since 0.1
 */
public record MembershipTimings(
        Duration heartbeat,
        Duration updateRequest,
        Duration suspect,
        Duration dead,
        Duration forget,
        Duration pause) {

    /** A dead process is noticed within three seconds of its last heartbeat. */
    public static final MembershipTimings DEFAULT =
            new MembershipTimings(
                    Duration.ofSeconds(1),
                    Duration.ofMillis(1_500),
                    Duration.ofMillis(2_000),
                    Duration.ofMillis(2_800),
                    Duration.ofSeconds(60),
                    Duration.ofSeconds(1));

    /** Checks the order of the times. */
    public MembershipTimings {
        Assert.isTrue(
                heartbeat.compareTo(updateRequest) < 0
                        && updateRequest.compareTo(suspect) < 0
                        && suspect.compareTo(dead) < 0,
                "The times must grow from heartbeat over ask and suspect to dead.");
    }
}
