package io.masticpond.entry.peer;

import io.masticpond.core.id.InstanceId;

/**
 * Hears of instances that come and go, on the control thread, once the snapshot shows it.
 *
 * @since 0.2
 */
public interface PeerListener {

    /**
     * Tells that an instance is heard, for the first time, again, or after its restart.
     *
     * @param instance the instance
     */
    void onPeerReachable(PeerInstance instance);

    /**
     * Tells that an instance is silent.
     *
     * @param id the instance
     * @param planned whether it had told that it leaves
     */
    void onPeerUnreachable(InstanceId id, boolean planned);
}
