package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for when a backend server is an outlier among its peers.
 *
 * @param halfLife the time after which an answer counts half
 * @param fullConfidenceCalls the number of calls, after decay, from which on the statistics have
 *     full confidence
 * @param minimumFailure the excess of the failure share over that of the peers from which on a
 *     penalty applies
 * @param fullFailure the excess of the failure share over that of the peers that gives the full
 *     penalty
 * @param minimumSlowness the multiple of the peers' latency from which on a penalty applies
 * @param fullSlowness the multiple of the peers' latency that gives the full penalty
 * @param trialInterval the time after which a penalized server gets one trial request
 * @since 0.2
 */
public record CallOutlierDetectorSettings(
        Duration halfLife,
        double fullConfidenceCalls,
        double minimumFailure,
        double fullFailure,
        double minimumSlowness,
        double fullSlowness,
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
                minimumFailure >= 0 && fullFailure > minimumFailure,
                "The failure shares must rise, but were %s and %s.",
                minimumFailure,
                fullFailure);
        Assert.isTrue(
                minimumSlowness >= 1 && fullSlowness > minimumSlowness,
                "The multiples of the latency must rise from 1, but were %s and %s.",
                minimumSlowness,
                fullSlowness);
        Assert.positive(trialInterval.toNanos(), "A trial interval");
    }
}
