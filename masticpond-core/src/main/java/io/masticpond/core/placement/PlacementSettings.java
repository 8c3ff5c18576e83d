package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;

/**
 * How much each thing counts in the choice of a backend server. A number drawn by hash for each
 * pair of key and server ranks the servers; the penalty of another region makes a server the first
 * of fewer keys, by a factor. The other penalties are compared among the ranks.
 *
 * @param otherZone the penalty of a server in another zone, in this region or not
 * @param otherRegion the penalty of a server in another region, as a weight of the ranks
 * @param homes how many servers know a key's object
 * @param perHome the penalty of each rank among the servers that a key prefers
 * @param cacheMiss the penalty of a server that does not hold the object, in times of a request
 * @param perQueued the penalty of a queue that lasts as long as one request
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

    /** The penalty of a distance that makes a server the first of 1/e as many keys is 1/this. */
    private static final double DISTANCE_SCALE = 5;

    /** The penalties that measured best; docs/bench/ROUNDS.md has the runs. */
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
     * Gives how likely a server is to be a key's first, compared with one of the own region.
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
     * Gives what is held against a server of another zone when ranks are compared.
     *
     * @param distance the distance
     * @return the penalty
     */
    public double zonePenalty(Distance distance) {
        return distance == Distance.SAME_ZONE ? 0 : otherZone;
    }
}
