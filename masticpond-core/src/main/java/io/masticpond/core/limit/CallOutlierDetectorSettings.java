package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for when a backend server is an outlier among its peers.
 *
 * @param halfLife the time after which an answer counts half
 * @param fullConfidenceCalls the number of calls, after decay, from which on the statistics have
 *     full confidence
 * @param failureThreshold the excess of the failure share over that of the peers from which on a
 *     penalty applies
 * @param fullPenaltyFailure the excess of the failure share over that of the peers that gives the
 *     full penalty
 * @param slownessThreshold the multiple of the peers' latency from which on a penalty applies
 * @param fullPenaltySlowness the multiple of the peers' latency that gives the full penalty
 * @param trialInterval the time after which a penalized server gets one trial request
 * @since 0.2
 */
public record CallOutlierDetectorSettings(
        Duration halfLife,
        double fullConfidenceCalls,
        double failureThreshold,
        double fullPenaltyFailure,
        double slownessThreshold,
        double fullPenaltySlowness,
        Duration trialInterval) {

    /** Default settings for most services. */
    public static final CallOutlierDetectorSettings DEFAULT =
            new CallOutlierDetectorSettings(
                    Duration.ofSeconds(3), 3, 0.1, 0.5, 2.5, 5, Duration.ofSeconds(3));

    /** Validates that the components are in range. */
    public CallOutlierDetectorSettings {
        Assert.positive(halfLife.toNanos(), "A half-life");
        Assert.isTrue(fullConfidenceCalls > 0, "A number of calls must be positive.");
        Assert.isTrue(
                failureThreshold >= 0 && fullPenaltyFailure > failureThreshold,
                "The failure shares must rise, but were %s and %s.",
                failureThreshold,
                fullPenaltyFailure);
        Assert.isTrue(
                slownessThreshold >= 1 && fullPenaltySlowness > slownessThreshold,
                "The multiples of the latency must rise from 1, but were %s and %s.",
                slownessThreshold,
                fullPenaltySlowness);
        Assert.positive(trialInterval.toNanos(), "A trial interval");
    }
}
