package io.masticpond.entry.replica;

import java.util.List;

/**
 * Strategy interface for finding the live peers and their revisions.
 *
 * @since 0.2
 */
public interface PeerRevisions {

    /**
     * Returns the live peers, excluding this instance.
     *
     * @return the peers
     */
    List<RelayPeer> alive();
}
