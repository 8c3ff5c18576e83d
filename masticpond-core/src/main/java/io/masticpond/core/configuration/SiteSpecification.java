package io.masticpond.core.configuration;

import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Specification of a site near clients and the availability zone that is nearest to it.
 *
 * @param id the site
 * @param zone the nearest availability zone
 * @since 0.1
 */
public record SiteSpecification(SiteId id, ZoneId zone) {

    /** Validates the components. */
    public SiteSpecification {
        Assert.notNull(id, "A site id");
        Assert.notNull(zone, "An availability zone id");
    }
}
