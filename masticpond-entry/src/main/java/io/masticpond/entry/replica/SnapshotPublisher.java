package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.time.TimeSource;

/**
 * Publisher of the snapshots of a replica: when one of its tables has changed, and when servers are
 * no longer cold. Confined to the control thread, except for {@link #snapshot}.
 */
final class SnapshotPublisher {

    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final RoutingTable mRouting;
    private final ServerDocuments mServers;
    private final EvacuationTable mEvacuations;
    private final SnapshotListener mListener;
    private long mRevision;
    private boolean mStopped;
    private Runnable mWarmUpTimer = () -> {};
    private volatile FleetSnapshot mSnapshot = FleetSnapshot.EMPTY;

    SnapshotPublisher(
            ReplicaContext context,
            RoutingTable routing,
            ServerDocuments servers,
            EvacuationTable evacuations,
            SnapshotListener listener) {
        mScheduler = context.scheduler();
        mTime = context.time();
        mRouting = routing;
        mServers = servers;
        mEvacuations = evacuations;
        mListener = listener;
    }

    /** Returns the newest snapshot. Thread-safe. */
    FleetSnapshot snapshot() {
        return mSnapshot;
    }

    /**
     * Publishes a snapshot if a table has changed.
     *
     * @param source where the change comes from
     * @param revision the revision of the newest known change
     */
    void publishIfChanged(CopySource source, long revision) {
        mRevision = revision;
        boolean isChanged = mRouting.takeChanged();
        isChanged |= mServers.takeChanged();
        isChanged |= mEvacuations.takeChanged();
        if (isChanged) {
            publish(source);
        }
    }

    /** Publishes nothing more when servers are no longer cold. */
    void stop() {
        mStopped = true;
    }

    private void publish(CopySource source) {
        long nowNanos = mTime.monotonicNanos();
        mSnapshot =
                new FleetSnapshot(
                        mRevision,
                        mRouting.routing(),
                        mServers.servers(mRouting::warmUp, nowNanos),
                        mEvacuations.zones());
        mWarmUpTimer.run();
        mServers.untilNextDue(mRouting::warmUp, nowNanos)
                .ifPresent(left -> mWarmUpTimer = mScheduler.schedule(left, this::publishWarmUp));
        mListener.changed(mSnapshot, source);
    }

    private void publishWarmUp() {
        if (!mStopped) {
            publish(CopySource.NONE);
        }
    }
}
