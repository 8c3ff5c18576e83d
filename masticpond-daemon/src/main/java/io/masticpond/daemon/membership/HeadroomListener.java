package io.masticpond.daemon.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.HeadroomEntry;
import java.util.List;

/**
 * Learns what admitters tell of their headroom, on the thread of the duty: hand over and return.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HeadroomListener {

    /**
     * A heartbeat told of headroom.
     *
     * @param from the admitter
     * @param headroom its counts, by service and region
     */
    void onHeadroom(InstanceId from, List<HeadroomEntry> headroom);
}
