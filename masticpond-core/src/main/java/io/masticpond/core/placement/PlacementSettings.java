package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;

/**
 * Weights of the criteria for the choice of a backend server. Servers are ranked by a hash of each
 * pair of key and server; the penalty of another region reduces the share of the keys for which a
 * server ranks first, by a factor. The other penalties are compared across the ranks.
 *
 * @param otherZone the penalty of a server in another zone, in this region or not
 * @param otherRegion the penalty of a server in another region, as a weight of the ranks
 * @param homes the number of servers that cache a key's object
 * @param perHome the penalty of each rank among the preferred servers of a key
 * @param cacheMiss the penalty of a server that does not cache the object, as a multiple of the
 *     time of a request
 * @param perQueued the penalty of a queue that takes as long as one request
 * @param perBusy the penalty of a server whose slots are all busy, in proportion below
 * @param failing the penalty of a server that fails all its requests, in proportion below
 * @since 0.2
 */
public record PlacementSettings(
        double otherZone,
        double otherRegion,
        int homes,
        double perHome,
        double cacheMiss,
        double perQueued,
        double perBusy,
        double failing) {

    /** Reciprocal of the penalty that reduces the keys for which a server ranks first to 1/e. */
    private static final double DISTANCE_SCALE = 5;

    /**
     * Default penalties, for a cache hit that takes a third of a miss and regions some tens of
     * milliseconds apart.
     */
    public static final PlacementSettings DEFAULT =
            new PlacementSettings(0.2, 0.35, 2, 0.1, 1.5, 1.0, 0.1, 2.0);

    /** Checks that no penalty is negative. */
    public PlacementSettings {
        Assert.positive(homes, "A number of homes");
        Assert.isTrue(
                otherZone >= 0
                        && otherRegion >= 0
                        && perHome >= 0
                        && cacheMiss >= 0
                        && perQueued >= 0
                        && perBusy >= 0
                        && failing >= 0,
                "A penalty must not be negative.");
    }

    /**
     * Returns the likelihood that a server ranks first for a key, relative to a server of this
     * instance's region.
     *
     * @param distance the distance
     * @param furtherRounds the round trips that an answer takes after the first
     * @return a factor above 0, at most 1
     */
    public double weight(Distance distance, int furtherRounds) {
        return switch (distance) {
            case SAME_ZONE, SAME_REGION -> 1;
            case OTHER_REGION -> Math.exp(-DISTANCE_SCALE * otherRegion * (1 + furtherRounds));
        };
    }

    /**
     * Returns the penalty of a server of another zone when ranks are compared.
     *
     * @param distance the distance
     * @return the penalty
     */
    public double zonePenalty(Distance distance) {
        return distance == Distance.SAME_ZONE ? 0 : otherZone;
    }
}
