package io.masticpond.entry.directory;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * Settings of how clients are distributed over instances.
 *
 * @param timeToLive how long a client may keep an answer
 * @param minimumInZone the number of ready instances in the client's availability zone below which
 *     those of its region are named too
 * @param isRegionWide whether all ready instances of the region are always named: the load is then
 *     even where zones differ in the number of clients per instance, and most bytes of clients and
 *     answers cross zones
 * @param maximumAddresses the maximum number of addresses in one answer
 * @since 0.2
 */
public record DirectorySettings(
        Duration timeToLive, int minimumInZone, boolean isRegionWide, int maximumAddresses) {

    /** Default settings: short-lived answers that prefer the client's own zone. */
    public static final DirectorySettings DEFAULT =
            new DirectorySettings(Duration.ofMillis(1500), 2, false, 64);

    /** Validates the settings. */
    public DirectorySettings {
        Assert.isTrue(
                timeToLive.toNanos() > 0,
                "The time to live of an answer must be positive, but was %s.",
                timeToLive);
        Assert.positive(minimumInZone, "The minimum number of instances in a zone");
        Assert.positive(maximumAddresses, "The maximum number of addresses in an answer");
    }

    /**
     * Returns these settings with the time to live limited to a bound.
     *
     * @param bound the maximum time to live
     * @return the settings with at most this time to live
     */
    public DirectorySettings within(Duration bound) {
        Duration bounded = timeToLive.compareTo(bound) < 0 ? timeToLive : bound;
        return new DirectorySettings(bounded, minimumInZone, isRegionWide, maximumAddresses);
    }
}
