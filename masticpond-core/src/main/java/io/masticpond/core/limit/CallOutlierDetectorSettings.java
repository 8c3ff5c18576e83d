package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * When a backend server stands out from its peers.
 *
 * @param halfLife after which time an answer counts half
 * @param enoughCalls the calls, decayed, from which on a record is fully believed
 * @param failureFrom the failure share above the peers' from which on it counts
 * @param failureFull the failure share above the peers' that counts fully
 * @param slownessFrom the multiple of the peers' latency from which on it counts
 * @param slownessFull the multiple of the peers' latency that counts fully
 * @param trialInterval the time after which a condemned server gets one request
 * @since 0.2
 */
public record CallOutlierDetectorSettings(
        Duration halfLife,
        double enoughCalls,
        double failureFrom,
        double failureFull,
        double slownessFrom,
        double slownessFull,
        Duration trialInterval) {

    /** Settings that fit most services. */
    public static final CallOutlierDetectorSettings DEFAULT =
            new CallOutlierDetectorSettings(
                    Duration.ofSeconds(3), 3, 0.1, 0.5, 2.5, 5, Duration.ofSeconds(3));

    /** Checks that the parts are in range. */
    public CallOutlierDetectorSettings {
        Assert.positive(halfLife.toNanos(), "A half-life");
        Assert.isTrue(enoughCalls > 0, "A number of calls must be positive.");
        Assert.isTrue(
                failureFrom >= 0 && failureFull > failureFrom,
                "The failure shares must rise, but were %s and %s.",
                failureFrom,
                failureFull);
        Assert.isTrue(
                slownessFrom >= 1 && slownessFull > slownessFrom,
                "The multiples of the latency must rise from 1, but were %s and %s.",
                slownessFrom,
                slownessFull);
        Assert.positive(trialInterval.toNanos(), "A trickle interval");
    }
}
