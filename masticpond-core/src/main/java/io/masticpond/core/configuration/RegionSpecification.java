package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Specification of a region and its availability zones.
 *
 * @param id the region
 * @param zones its availability zones, at least one
 * @since 0.1
 */
public record RegionSpecification(RegionId id, List<ZoneId> zones) {

    /** Validates the components. */
    public RegionSpecification {
        Assert.notNull(id, "A region id");
        zones = List.copyOf(Assert.notEmpty(zones, "The availability zones of a region"));
    }
}
