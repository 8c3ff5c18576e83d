package io.masticpond.entry.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.masticpond.entry.replica.PeerRevisions;
import io.masticpond.entry.replica.RelayMember;
import io.masticpond.entry.replica.RelayPeer;
import java.util.List;
import java.util.Set;

/** Source of the store revisions that the other instances report in their heartbeats. */
final class HeartbeatRevisions implements PeerRevisions {

    private final PeerView mPeers;
    private final InstanceId mSelf;

    HeartbeatRevisions(PeerView peers, InstanceId self) {
        mPeers = peers;
        mSelf = self;
    }

    @Override
    public List<RelayPeer> alive() {
        return mPeers.alive().stream()
                .filter(peer -> !peer.id().equals(mSelf))
                .map(HeartbeatRevisions::relayPeer)
                .toList();
    }

    /**
     * Returns the ready instances of a zone that are not suspect, including this one if it is
     * ready.
     */
    List<RelayMember> readyMembers(ZoneId zone) {
        Set<InstanceId> suspects = mPeers.suspects();
        return mPeers.alive().stream()
                .filter(peer -> peer.ready() && peer.zone().equals(zone))
                .filter(peer -> !suspects.contains(peer.id()))
                .map(peer -> new RelayMember(peer.id(), peer.internal()))
                .toList();
    }

    private static RelayPeer relayPeer(PeerInstance peer) {
        return new RelayPeer(peer.internal(), peer.zone(), peer.region(), peer.revision());
    }
}
