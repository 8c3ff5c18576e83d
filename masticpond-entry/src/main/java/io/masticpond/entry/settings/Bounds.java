package io.masticpond.entry.settings;

import java.time.Duration;
import java.util.Collections;
import java.util.List;

/**
 * Times and shares that the system guarantees.
 *
 * @param addressReuse how long the address of a terminated backend server stays unused
 * @param stability how long the system must have been stable for the other bounds to hold
 * @param acknowledgement the time in which a change is acknowledged
 * @param catchUp the time in which an instance that was cut off has the newest state
 * @param leave the time after which a leaving backend server receives no more requests
 * @param stop how long a stopping instance may finish its open requests
 * @param lossSlack the tolerance in time for a request that crosses the end of its connection
 * @param configurationApply the time in which a routing configuration is in force
 * @param downgradeSlack how long an older configuration may still be seen after a newer one
 * @param outage by how much an outage of the store may extend the other bounds
 * @param retryRatio the maximum number of retries, as a share of all requests
 * @param retryWindow the window over which retries are counted
 * @param retrySlack the number of retries allowed in addition to that share
 * @param warmUpFactor the factor by which the rate of a cold server may be exceeded
 * @param coldSlack the number of requests that a cold server may receive in addition
 * @param evacuation the time after which an evacuated zone receives no more requests
 * @param recovery the time in which the system serves again after all instances were lost
 * @param directoryLifetime the maximum time for which an answer of the directory is valid
 * @param regionShift the maximum share of a region's requests that may change the region in which
 *     they run from one short window to the next
 * @since 0.2
 */
public record Bounds(
        Duration addressReuse,
        Duration stability,
        Duration acknowledgement,
        Duration catchUp,
        Duration leave,
        Duration stop,
        Duration lossSlack,
        Duration configurationApply,
        Duration downgradeSlack,
        Duration outage,
        double retryRatio,
        Duration retryWindow,
        double retrySlack,
        double warmUpFactor,
        double coldSlack,
        Duration evacuation,
        Duration recovery,
        Duration directoryLifetime,
        double regionShift) {

    /**
     * Returns these bounds with another window of retries.
     *
     * @param window the window
     * @return the bounds
     */
    public Bounds withRetryWindow(Duration window) {
        return new Bounds(
                addressReuse,
                stability,
                acknowledgement,
                catchUp,
                leave,
                stop,
                lossSlack,
                configurationApply,
                downgradeSlack,
                outage,
                retryRatio,
                window,
                retrySlack,
                warmUpFactor,
                coldSlack,
                evacuation,
                recovery,
                directoryLifetime,
                regionShift);
    }

    /**
     * Returns the shortest time in which a change that the store knows must be in force.
     *
     * @return the minimum of the bounds of leaving servers, configurations and evacuations
     */
    public Duration shortest() {
        return Collections.min(List.of(leave, configurationApply, evacuation));
    }

    /** Default bounds, which apply if a platform specifies none. */
    public static final Bounds DEFAULT =
            new Bounds(
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(4),
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(5),
                    Duration.ofMillis(200),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(250),
                    Duration.ofSeconds(5),
                    0.1,
                    Duration.ofSeconds(10),
                    20,
                    1.0,
                    2.0,
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(10),
                    Duration.ofSeconds(5),
                    1.0);
}
