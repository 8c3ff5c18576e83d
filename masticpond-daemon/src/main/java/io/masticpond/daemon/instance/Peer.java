package io.masticpond.daemon.instance;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.Map;
import java.util.function.Function;

/** Holder of the address and the lanes of another instance. */
final class Peer {

    private final Map<Lane, PeerLane> mLanes = new EnumMap<>(Lane.class);
    private volatile InetSocketAddress mAddress;

    Peer(Function<Lane, PeerLane> laneFactory) {
        for (Lane lane : Lane.values()) {
            mLanes.put(lane, laneFactory.apply(lane));
        }
    }

    PeerLane lane(Lane lane) {
        return mLanes.get(lane);
    }

    /** Returns the address, or {@code null} if none is known. */
    InetSocketAddress address() {
        return mAddress;
    }

    void address(InetSocketAddress address) {
        mAddress = address;
    }

    /**
     * Resets the backoff of every lane, so that the next message connects immediately; must be
     * called on the event loop of the links.
     */
    void resetBackoff() {
        mLanes.values().forEach(PeerLane::resetBackoff);
    }

    /**
     * Drops the queued messages and closes the connections; must be called on the event loop of the
     * links.
     */
    void close(String reason) {
        mLanes.values().forEach(lane -> lane.close(reason));
    }
}
