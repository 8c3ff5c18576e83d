package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the ejection of backend servers and for their return.
 *
 * @param consecutiveFailures the consecutive failures that eject a server
 * @param failureShare the share of recent failures that ejects a server, above 0 and at most 1
 * @param slownessFactor the multiple of the typical latency of its peers that ejects a server,
 *     above 1
 * @param minimumAnswers the number of answers required before a failure share or a latency is
 *     evaluated
 * @param maximumEjectedShare the maximum part of an availability zone's servers that is ejected
 * @param ejection the duration of the first ejection; each further one lasts twice as long
 * @param maximumEjection the maximum duration of an ejection
 * @param trialAnswers the consecutive good answers that end a trial
 * @param trialInterval the minimum time between two trial requests
 * @param answerValidity how long a good answer overrides a report that the server is unhealthy
 * @param unreachableBackoff how long a server gets no requests after a connection failed; doubles
 *     with each further ejection, up to the maximum
 * @since 0.1
 */
public record OutlierSettings(
        int consecutiveFailures,
        double failureShare,
        double slownessFactor,
        int minimumAnswers,
        double maximumEjectedShare,
        Duration ejection,
        Duration maximumEjection,
        int trialAnswers,
        Duration trialInterval,
        Duration answerValidity,
        Duration unreachableBackoff) {

    /** Default settings for services with latencies of 10 to 1,000 milliseconds. */
    public static final OutlierSettings DEFAULT =
            new OutlierSettings(
                    5,
                    0.5,
                    3,
                    20,
                    0.5,
                    Duration.ofSeconds(2),
                    Duration.ofSeconds(30),
                    5,
                    Duration.ofMillis(100),
                    Duration.ofSeconds(2),
                    Duration.ofMillis(100));

    /** Validates the components. */
    public OutlierSettings {
        Assert.positive(consecutiveFailures, "The consecutive failures that eject");
        Assert.isTrue(
                failureShare > 0 && failureShare <= 1,
                "A failure share must be above 0 and at most 1, but was %s.",
                failureShare);
        Assert.isTrue(
                slownessFactor > 1,
                "A slowness factor must be above 1, but was %s.",
                slownessFactor);
        Assert.positive(minimumAnswers, "The minimum number of answers");
        Assert.isTrue(
                maximumEjectedShare >= 0 && maximumEjectedShare < 1,
                "A maximum ejected share must be from 0 to below 1, but was %s.",
                maximumEjectedShare);
        Assert.positive(ejection.toNanos(), "An ejection");
        Assert.positive(maximumEjection.toNanos(), "A maximum ejection");
        Assert.positive(trialAnswers, "The answers that end a trial");
        Assert.notNegative(trialInterval.toNanos(), "A trial interval");
        Assert.notNegative(answerValidity.toNanos(), "The validity of an answer");
        Assert.positive(unreachableBackoff.toNanos(), "The backoff from an unreachable server");
    }
}
