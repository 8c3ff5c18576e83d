package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.reachability.ReachabilityMonitor;
import io.masticpond.core.reachability.ReachabilitySettings;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.backend.BackendConnections;
import io.masticpond.entry.forward.PeerRequests;
import java.util.Optional;
import java.util.function.DoubleSupplier;

/**
 * Forwarding of requests between instances: which services this instance reaches, the connections
 * to other instances, and the number of requests that it processes for them. For use on the traffic
 * thread only.
 *
 * @since 0.3
 */
public final class RequestForwarding {

    private final ReachabilityMonitor mMonitor =
            new ReachabilityMonitor(ReachabilitySettings.DEFAULT);
    private Optional<PeerRequests> mPeers = Optional.empty();
    private DoubleSupplier mRandom = () -> 0;
    private int mAcceptedInFlight;
    private long mForwarded;
    private long mAccepted;

    /**
     * Sets the sender of requests to other instances. Without one, no request is forwarded.
     *
     * @param peers the sender
     * @param random supplies random numbers from 0 (inclusive) to 1 (exclusive)
     */
    public void setPeers(PeerRequests peers, DoubleSupplier random) {
        mPeers = Optional.of(peers);
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /**
     * Replaces the settings.
     *
     * @param settings the settings
     */
    public void applySettings(ReachabilitySettings settings) {
        mMonitor.applySettings(settings);
        mPeers.ifPresent(peers -> peers.setMemory(settings.peerMemory()));
    }

    /**
     * Returns the monitor of the services that this instance reaches.
     *
     * @return the monitor
     */
    public ReachabilityMonitor monitor() {
        return mMonitor;
    }

    /**
     * Returns the number of requests that were forwarded to other instances.
     *
     * @return the count since the start of this instance
     */
    public long forwarded() {
        return mForwarded;
    }

    /**
     * Returns the number of requests that were accepted from other instances.
     *
     * @return the count since the start of this instance
     */
    public long accepted() {
        return mAccepted;
    }

    /**
     * Returns the sender of requests to other instances.
     *
     * @return the sender, or empty if no request is forwarded
     */
    public Optional<PeerRequests> peers() {
        return mPeers;
    }

    /** Records that a server reset an idle connection, maybe together with all others. */
    void recordIdleReset(RegisteredServer server, BackendConnections connections, long nowNanos) {
        ServiceId service = server.service();
        boolean isConnected = connections.isConnected(service);
        mMonitor.recordIdleReset(service, server.id(), isConnected, nowNanos);
    }

    double nextRandom() {
        return mRandom.getAsDouble();
    }

    void recordForwarded() {
        mForwarded++;
    }

    /** Accepts a request of another instance unless too many are in flight. */
    boolean tryAccept() {
        if (mAcceptedInFlight >= mMonitor.settings().forwardedRequests()) {
            return false;
        }
        mAcceptedInFlight++;
        mAccepted++;
        return true;
    }

    void acceptedEnded() {
        mAcceptedInFlight--;
    }
}
