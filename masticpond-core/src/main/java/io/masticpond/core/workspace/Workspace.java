package io.masticpond.core.workspace;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.support.Assert;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;

/**
 * Account of a caller.
 *
 * @param id the id of the workspace, which is forwarded to backend servers
 * @param keys the digests of its keys; a workspace without keys cannot be used
 * @param limit the limit of its request rate, or empty if there is no limit
 * @param priority the priority of its requests, which takes precedence over that of their route;
 *     empty to use the priority of the route
 * @param homeRegions the only regions that may serve it; empty to allow all regions
 * @param weight the weight of its share of a full service relative to other workspaces, 0.01 to 100
 * @since 0.2
 */
public record Workspace(
        WorkspaceId id,
        Set<KeyDigest> keys,
        Optional<RateLimit> limit,
        OptionalInt priority,
        Set<RegionId> homeRegions,
        double weight) {

    /** Weight of a workspace for which none is stated. */
    public static final double DEFAULT_WEIGHT = 1;

    private static final double MINIMUM_WEIGHT = 0.01;
    private static final double MAXIMUM_WEIGHT = 100;

    /** Validates the components and copies the collections. */
    public Workspace {
        Assert.notNull(id, "A workspace id");
        Assert.notNull(limit, "A limit");
        Assert.isTrue(priority.orElse(0) >= 0, "A priority must not be negative.");
        Assert.isTrue(
                weight >= MINIMUM_WEIGHT && weight <= MAXIMUM_WEIGHT,
                "A weight must be 0.01 to 100, but was %s.",
                weight);
        keys = Set.copyOf(keys);
        homeRegions = Set.copyOf(homeRegions);
    }

    /**
     * Creates a workspace with the default weight.
     *
     * @param id the id of the workspace
     * @param keys the digests of its keys
     * @param limit the limit of its request rate, or empty if there is no limit
     * @param priority the priority of its requests, or empty to use the priority of the route
     * @param homeRegions the only regions that may serve it; empty to allow all regions
     */
    public Workspace(
            WorkspaceId id,
            Set<KeyDigest> keys,
            Optional<RateLimit> limit,
            OptionalInt priority,
            Set<RegionId> homeRegions) {
        this(id, keys, limit, priority, homeRegions, DEFAULT_WEIGHT);
    }
}
