package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;

/**
 * Callback interface for instances that become reachable or unreachable. Called on the control
 * thread, once the published snapshot reflects the change.
 *
 * @since 0.2
 */
public interface PeerListener {

    /**
     * Called when an instance becomes reachable for the first time, again after inactivity, or
     * after its restart.
     *
     * @param instance the instance
     */
    void onPeerReachable(PeerInstance instance);

    /**
     * Called when an instance has become unresponsive.
     *
     * @param id the instance
     * @param planned whether it had announced that it leaves
     */
    void onPeerUnreachable(InstanceId id, boolean planned);
}
