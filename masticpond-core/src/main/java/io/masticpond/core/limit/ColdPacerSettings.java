package io.masticpond.core.limit;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings for the bound on the requests to a cold backend server over all instances, and for the
 * margins below it.
 *
 * @param rateFactor the factor by which the warm-up rate is multiplied
 * @param slack the additional requests in any second
 * @param safety the part of the bound that is used, above 0 and at most 1
 * @param views the number of differing views of the fleet at one time, each with its own owners
 * @param ownerShare the requests per second for which one more owner is added
 * @param margin how much longer a server is treated as cold
 * @param ramp the time in which a server that became warm reaches its full share
 * @param settling how long an instance waits after it became an owner
 * @since 0.2
 */
public record ColdPacerSettings(
        double rateFactor,
        double slack,
        double safety,
        int views,
        double ownerShare,
        Duration margin,
        Duration ramp,
        Duration settling) {

    private static final double DEFAULT_SAFETY = 0.9;
    private static final int DEFAULT_VIEWS = 3;
    private static final double DEFAULT_OWNER_SHARE = 5;

    /** Validates that the components are in range. */
    public ColdPacerSettings {
        Assert.isTrue(rateFactor > 0, "A rate factor must be positive, but was %s.", rateFactor);
        Assert.isTrue(slack >= 0, "A slack must not be negative, but was %s.", slack);
        Assert.isTrue(
                safety > 0 && safety <= 1,
                "A safety factor must be over 0 and at most 1, but was %s.",
                safety);
        Assert.positive(views, "A number of views");
        Assert.isTrue(
                ownerShare > 1, "A share of an owner must be over 1, but was %s.", ownerShare);
        Assert.notNegative(margin.toNanos(), "A margin");
        Assert.positive(ramp.toNanos(), "A ramp");
        Assert.notNegative(settling.toNanos(), "A settling time");
    }

    /**
     * Returns settings for a bound, with defaults for the other components.
     *
     * @param rateFactor the factor by which the warm-up rate is multiplied
     * @param slack the additional requests in any second
     * @return the settings
     */
    public static ColdPacerSettings of(double rateFactor, double slack) {
        return new ColdPacerSettings(
                rateFactor,
                slack,
                DEFAULT_SAFETY,
                DEFAULT_VIEWS,
                DEFAULT_OWNER_SHARE,
                Duration.ofMillis(300),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2));
    }

    /** Returns the requests per second that the owners of one view may send together. */
    double perView(double warmUpRate) {
        return (warmUpRate * rateFactor + slack) * safety / views;
    }
}
