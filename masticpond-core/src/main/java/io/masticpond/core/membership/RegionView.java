package io.masticpond.core.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import java.util.List;

/**
 * Immutable snapshot of what an instance knows of the instances of a region.
 *
 * @param region the region
 * @param admitting the instances that may admit work, ordered by id
 * @param missing the instances that may still be working although this instance cannot reach them:
 *     unresponsive, suspected or expected
 * @param upToDate whether this instance considers its own view current: it has not just resumed
 *     after a pause, it has received the list of members, and no later run of it is known
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
     * Determines whether no other instance of the region can admit work without the knowledge of
     * this instance.
     *
     * @return {@code true} if the view is current and every instance of the region is either live
     *     or has certainly terminated
     */
    public boolean isComplete() {
        return upToDate && missing.isEmpty();
    }
}
