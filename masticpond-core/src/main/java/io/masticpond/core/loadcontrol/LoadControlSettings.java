package io.masticpond.core.loadcontrol;

import io.masticpond.core.support.Assert;

/**
 * Settings of load control.
 *
 * @param mode for which services load control is active
 * @param probesPerSecond the maximum number of load probes that an instance sends per second; 0 to
 *     send none
 * @param regionLinkMegabits the bandwidth of a link between two regions in Mbit/s, shared by all
 *     traffic; 0 if it is not limited
 * @param fullness the part of the slots of a service in use from which on the service is full,
 *     above 0 and at most 1
 * @param slowFactor how many times as long as the mean of its service the work of a server takes
 *     from which on the server is slow, above 1
 * @since 0.3
 */
public record LoadControlSettings(
        LoadControlMode mode,
        double probesPerSecond,
        int regionLinkMegabits,
        double fullness,
        double slowFactor) {

    /** Default settings. */
    public static final LoadControlSettings DEFAULT =
            new LoadControlSettings(LoadControlMode.AUTOMATIC, 0, 0, 0.95, 1.5);

    /** Validates that the components are in range. */
    public LoadControlSettings {
        Assert.notNull(mode, "A mode of load control");
        Assert.isTrue(probesPerSecond >= 0, "A number of probes must not be negative.");
        Assert.notNegative(regionLinkMegabits, "A bandwidth between regions");
        Assert.isTrue(
                fullness > 0 && fullness <= 1,
                "The part of the slots in use at a full service must be over 0 and at most 1, "
                        + "but was %s.",
                fullness);
        Assert.isTrue(
                slowFactor > 1,
                "The factor of a slow server must be over 1, but was %s.",
                slowFactor);
    }
}
