package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceSplit;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.lifecycle.Readiness;
import io.masticpond.entry.log.FleetSnapshotLog;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.log.UpdateSource;
import io.masticpond.entry.replica.CopySource;
import io.masticpond.entry.request.EntryState;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Distributor of updates from the control thread to the traffic thread, the logs and the peers. */
@Singleton
final class SnapshotUpdates {

    private final EventLoop mTraffic;
    private final TimeSource mTimeSource;
    private final FleetSnapshotLog mLog;
    private final ControlComponents mControlComponents;
    private final RequestFlow mFlow;
    private final SharedLimits mLimits;
    private final ServiceSplit mSplit;
    private final EntryListeners mListeners;
    private final Readiness mReadiness;
    private final ProcessChangeLog mProcessChanges;
    private boolean mReadyLogged;

    @Inject
    SnapshotUpdates(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            FleetSnapshotLog log,
            ControlComponents controlComponents,
            RequestFlow flow,
            SharedLimits limits,
            ServiceSplit split,
            EntryListeners listeners,
            Readiness readiness,
            ProcessChangeLog processChanges) {
        mTraffic = traffic;
        mTimeSource = timeSource;
        mLog = log;
        mControlComponents = controlComponents;
        mFlow = flow;
        mLimits = limits;
        mSplit = split;
        mListeners = listeners;
        mReadiness = readiness;
        mProcessChanges = processChanges;
    }

    /** Distributes a new snapshot and logs its source. Must be called on the control thread. */
    void snapshotChanged(FleetSnapshot snapshot, CopySource source) {
        snapshot.routing()
                .map(RoutingConfiguration::limits)
                .ifPresent(mListeners::setRequestLimits);
        mTraffic.execute(() -> applySnapshot(snapshot));
        mLog.changed(snapshot, toUpdateSource(source), mTimeSource.monotonicNanos());
        reportStatus();
    }

    private static UpdateSource toUpdateSource(CopySource source) {
        return switch (source) {
            case STORE -> UpdateSource.STORE;
            case PEER -> UpdateSource.PEER;
            case NONE -> UpdateSource.SELF;
        };
    }

    private void applySnapshot(FleetSnapshot snapshot) {
        EntryState before = mFlow.state();
        EntryState state = EntryState.of(snapshot, before);
        mFlow.update(state);
        mLimits.update(snapshot, mTimeSource.monotonicNanos());
        if (!state.routes().equals(before.routes())) {
            snapshot.routing().ifPresent(this::retainConfigured);
        }
    }

    private void retainConfigured(RoutingConfiguration configuration) {
        mSplit.retain(configuration);
        mFlow.placer().retain(configuration);
    }

    /**
     * Reports the readiness and revision of this instance to the peers, and the last confirmation
     * of its snapshot to the request path. Must be called on the control thread.
     */
    void reportStatus() {
        mLog.logWarmed(mTimeSource.monotonicNanos());
        mControlComponents.updateTimes().ifPresent(mFlow::setUpdateTimes);
        boolean ready = mReadiness.isReady();
        if (ready && !mReadyLogged) {
            mReadyLogged = true;
            mProcessChanges.log(ProcessChange.Kind.READY);
        }
        mControlComponents.heartbeats().update(ready, mControlComponents.replica().revision());
    }
}
