package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.CategoryStatus;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.replica.InstanceRegistration;
import io.masticpond.entry.replica.RelayServer;
import io.masticpond.entry.replica.ReplicaStatus;
import io.masticpond.entry.request.UpdateTimes;
import java.net.InetSocketAddress;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The components that run on the control thread: the replica of the store, this instance's
 * registration there, the heartbeats and the relay.
 */
@Singleton
final class ControlComponents {

    private static final Logger sLogger = LoggerFactory.getLogger(ControlComponents.class);

    private final TimeSource mTimeSource;
    private final PeerInstance mSelf;
    private final HeartbeatService mHeartbeats;
    private final FleetReplica mReplica;
    private final InstanceRegistration mRegistration;
    private final RelayServer mRelayServer;

    @Inject
    ControlComponents(
            TimeSource timeSource,
            PeerInstance self,
            HeartbeatService heartbeats,
            FleetReplica replica,
            InstanceRegistration registration,
            RelayServer relayServer) {
        mTimeSource = timeSource;
        mSelf = self;
        mHeartbeats = heartbeats;
        mReplica = replica;
        mRegistration = registration;
        mRelayServer = relayServer;
    }

    /** Starts the components. Must be called on the control thread. */
    void start() {
        mReplica.restoreTracker()
                .addSettledListener((era, settledBeforeStart) -> mRegistration.register(era));
        mReplica.start();
        mHeartbeats.start();
        mRegistration.start();
        ServerAddress internal = mSelf.internal();
        mRelayServer.start(
                new InetSocketAddress(internal.ip(), internal.port()),
                bound -> bound.peekLeft(this::logRelayFailure));
    }

    private void logRelayFailure(String cause) {
        sLogger.error("STORE  Failed to bind the relay, so peers cannot use it: {}", cause);
    }

    /**
     * Returns when the routes and backend servers were last confirmed, or empty if they never were.
     */
    Optional<UpdateTimes> updateTimes() {
        ReplicaStatus status = mReplica.status();
        if (!status.usable()) {
            return Optional.empty();
        }
        long now = mTimeSource.monotonicNanos();
        return Optional.of(
                new UpdateTimes(
                        now - age(status, Category.ROUTING),
                        now - age(status, Category.BACKEND_SERVERS)));
    }

    private static long age(ReplicaStatus status, Category category) {
        for (CategoryStatus each : status.categories()) {
            if (each.category() == category) {
                return each.age().toNanos();
            }
        }
        return 0;
    }

    HeartbeatService heartbeats() {
        return mHeartbeats;
    }

    FleetReplica replica() {
        return mReplica;
    }

    InstanceRegistration registration() {
        return mRegistration;
    }
}
