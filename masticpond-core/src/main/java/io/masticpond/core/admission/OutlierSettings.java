package io.masticpond.core.admission;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Says when a backend server is ejected, for how long, and how it comes back.
 *
 * @param consecutiveFailures how many failures in a row eject
 * @param failureShare the share of recent failures that ejects, from 0 to 1
 * @param slownessFactor how many times the typical latency of its peers ejects
 * @param minimumAnswers how many answers must be known before a share or latency counts
 * @param maximumEjectedShare the greatest part of an availability zone's servers that is ejected
 * @param ejection how long the first ejection lasts; each next one lasts twice as long
 * @param maximumEjection how long an ejection lasts at most
 * @param trialAnswers how many good answers in a row end the trickle
 * @param trialInterval the least time between two requests of a trickle
 * @param answerValidity how long a good answer outweighs a report that the server is not well
 * @param unreachableBackoff how long a server gets nothing after a connection failed; doubles
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

    /** Suits services with answers of 10 to 1,000 milliseconds. */
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

    /** Checks the parts. */
    public OutlierSettings {
        Assert.positive(consecutiveFailures, "The failures in a row that eject");
        Assert.isTrue(
                failureShare > 0 && failureShare <= 1,
                "A failure share must be above 0 and at most 1, but was %s.",
                failureShare);
        Assert.isTrue(
                slownessFactor > 1,
                "A slowness factor must be above 1, but was %s.",
                slownessFactor);
        Assert.positive(minimumAnswers, "The answers that must be known");
        Assert.isTrue(
                maximumEjectedShare >= 0 && maximumEjectedShare < 1,
                "A greatest ejected share must be from 0 to below 1, but was %s.",
                maximumEjectedShare);
        Assert.positive(ejection.toNanos(), "An ejection");
        Assert.positive(maximumEjection.toNanos(), "A greatest ejection");
        Assert.positive(trialAnswers, "The answers that end a trickle");
        Assert.notNegative(trialInterval.toNanos(), "A trickle interval");
        Assert.notNegative(answerValidity.toNanos(), "The trust in an answer");
        Assert.positive(unreachableBackoff.toNanos(), "The backoff from an unreachable server");
    }
}
