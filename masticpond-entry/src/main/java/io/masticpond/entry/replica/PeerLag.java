package io.masticpond.entry.replica;

import java.util.List;

/**
 * Detector of a peer that has been ahead of this instance for some time although the store answers,
 * which means that a watch of this instance may no longer deliver. Confined to the control thread.
 */
final class PeerLag {

    private final PeerRevisions mPeers;
    private long mNewest;
    private long mLastReturned;

    /**
     * Creates an instance.
     *
     * @param peers the peers
     */
    PeerLag(PeerRevisions peers) {
        mPeers = peers;
    }

    /**
     * Compares the revisions of the peers with the local one; called periodically.
     *
     * @param known the newest local revision
     * @return the newest revision that a peer had reported by the previous call, if it is still
     *     unknown here, returned once; otherwise 0
     */
    long compare(long known) {
        List<RelayPeer> peers = mPeers.alive();
        long newest = peers.stream().mapToLong(RelayPeer::revision).max().orElse(0);
        boolean wasAhead = mNewest > known && mNewest > mLastReturned;
        long missed = wasAhead ? mNewest : 0;
        mLastReturned = Math.max(mLastReturned, missed);
        mNewest = newest;
        return missed;
    }
}
