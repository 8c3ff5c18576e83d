package io.masticpond.entry.directory;

import io.masticpond.core.support.Assert;
import java.time.Duration;

/**
 * How clients are spread over instances.
 *
 * @param timeToLive how long a client may keep an answer
 * @param minimumInZone with fewer ready instances than this in the client's availability zone,
 *     those of its region are named too
 * @param isRegionWide whether all ready instances of the region are always named: the load is even
 *     where zones have unlike numbers of clients for each instance, and most bytes of clients and
 *     answers cross zones
 * @param maximumAddresses the most addresses of one answer
 * @since 0.2
 */
public record DirectorySettings(
        Duration timeToLive, int minimumInZone, boolean isRegionWide, int maximumAddresses) {

    /** Short-lived answers, the own zone first. */
    public static final DirectorySettings DEFAULT =
            new DirectorySettings(Duration.ofMillis(1500), 2, false, 64);

    /** Checks the settings. */
    public DirectorySettings {
        Assert.isTrue(timeToLive.toNanos() > 0, "An answer must last a while, not %s.", timeToLive);
        Assert.positive(minimumInZone, "The least number in a zone");
        Assert.positive(maximumAddresses, "The most addresses of an answer");
    }

    /**
     * Keeps the time that a client may keep an answer within a bound.
     *
     * @param bound the longest that counts
     * @return the settings with at most that
     */
    public DirectorySettings within(Duration bound) {
        Duration least = timeToLive.compareTo(bound) < 0 ? timeToLive : bound;
        return new DirectorySettings(least, minimumInZone, isRegionWide, maximumAddresses);
    }
}
