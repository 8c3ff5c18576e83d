package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the expected wait above which a request is refused.
 *
 * @param minimumPart the part of its target latency that a request of the least urgent priority may
 *     wait, if the service has several priorities
 * @param singlePriorityPart the same part if the service has only one priority; priorities in
 *     between are interpolated
 * @param deadlinePart the part of the remaining time that waiting and service may take, above 0 and
 *     at most 1
 * @param minimumPause the minimum time after which a refused client should retry
 * @param noServerPause the time after which it should retry if no server is usable
 * @since 0.2
 */
public record AdmissionLimitSettings(
        double minimumPart,
        double singlePriorityPart,
        double deadlinePart,
        Duration minimumPause,
        Duration noServerPause) {

    /** Default settings for most services. */
    public static final AdmissionLimitSettings DEFAULT =
            new AdmissionLimitSettings(0.25, 1, 0.9, Duration.ofMillis(50), Duration.ofMillis(500));

    /** Validates that the components are in range. */
    public AdmissionLimitSettings {
        Assert.isTrue(
                minimumPart > 0, "The minimum part must be positive, but was %s.", minimumPart);
        Assert.isTrue(
                singlePriorityPart >= minimumPart,
                "The part of a single priority must be at least the minimum part, but was %s.",
                singlePriorityPart);
        Assert.isTrue(
                deadlinePart > 0 && deadlinePart <= 1,
                "The part of the remaining time must be over 0 and at most 1, but was %s.",
                deadlinePart);
        Assert.positive(minimumPause.toNanos(), "A minimum pause");
        Assert.positive(noServerPause.toNanos(), "A pause without servers");
    }
}
