package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import java.util.List;

/**
 * What an instance sees of the instances of a region.
 *
 * @param region the region
 * @param admitting the instances that may admit work, in the order of their ids
 * @param missing the instances that may be at work out of sight: silent, suspected or expected
 * @param upToDate whether this instance trusts its own view: it did not just wake from a pause, and
 *     it has learned who the members are
 * @since 0.1
 */
public record RegionView(
        RegionId region, List<InstanceId> admitting, List<InstanceId> missing, boolean upToDate) {

    /** Copies the lists. */
    public RegionView {
        admitting = List.copyOf(admitting);
        missing = List.copyOf(missing);
    }

    /**
     * Tells whether no other instance can be admitting out of sight.
     *
     * @return whether every instance of the region is heard from or certainly gone
     */
    public boolean isComplete() {
        return upToDate && missing.isEmpty();
    }
}
