package io.masticpond.daemon.membership;

import io.masticpond.core.id.InstanceId;
import io.masticpond.protocol.generated.HeadroomEntry;
import java.util.List;

/**
 * Callback interface for the headroom that admitters report. Invoked on the event loop of the
 * {@link MembershipService}: hand the event to another event loop and return immediately.
 *
 * @since 0.1
 */
@FunctionalInterface
public interface HeadroomListener {

    /**
     * Invoked when a heartbeat reported headroom.
     *
     * @param from the admitter
     * @param headroom the headroom of the admitter, by service and region
     */
    void onHeadroom(InstanceId from, List<HeadroomEntry> headroom);
}
