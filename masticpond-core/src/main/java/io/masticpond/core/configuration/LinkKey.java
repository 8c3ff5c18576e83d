package io.masticpond.core.configuration;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.support.Assert;

/**
 * Key of the link between two regions, independent of the order of the regions.
 *
 * @param from the region whose name is lower in lexicographic order
 * @param to the other region
 * @since 0.1
 */
public record LinkKey(RegionId from, RegionId to) {

    /** Validates the components and sorts them. */
    public LinkKey {
        Assert.notNull(from, "A region id");
        Assert.notNull(to, "A region id");
        if (from.compareTo(to) > 0) {
            RegionId first = to;
            to = from;
            from = first;
        }
    }

    /**
     * Returns the key of a link.
     *
     * @param link the specification of the link
     * @return the key
     */
    public static LinkKey of(LinkSpecification link) {
        return new LinkKey(link.from(), link.to());
    }

    @Override
    public String toString() {
        return from + "," + to;
    }
}
