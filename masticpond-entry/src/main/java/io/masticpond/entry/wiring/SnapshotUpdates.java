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

/** Hands what the control thread learns to the traffic thread, the logs and the peers. */
@Singleton
final class SnapshotUpdates {

    private final EventLoop mTraffic;
    private final TimeSource mTimeSource;
    private final FleetSnapshotLog mLog;
    private final ControlComponents mControlSide;
    private final RequestFlow mFlow;
    private final SharedLimits mLimits;
    private final ServiceSplit mSplit;
    private final EntryListeners mListeners;
    private final Readiness mReadiness;
    private final ProcessChangeLog mNews;
    private boolean mToldReady;

    @Inject
    SnapshotUpdates(
            @TrafficThread EventLoop traffic,
            TimeSource timeSource,
            FleetSnapshotLog log,
            ControlComponents controlSide,
            RequestFlow flow,
            SharedLimits limits,
            ServiceSplit split,
            EntryListeners listeners,
            Readiness readiness,
            ProcessChangeLog news) {
        mTraffic = traffic;
        mTimeSource = timeSource;
        mLog = log;
        mControlSide = controlSide;
        mFlow = flow;
        mLimits = limits;
        mSplit = split;
        mListeners = listeners;
        mReadiness = readiness;
        mNews = news;
    }

    /** Takes a new snapshot and who told it, on the control thread. */
    void snapshotChanged(FleetSnapshot snapshot, CopySource told) {
        snapshot.routing().map(RoutingConfiguration::limits).ifPresent(mListeners::limit);
        mTraffic.execute(() -> follow(snapshot));
        mLog.changed(snapshot, source(told), mTimeSource.monotonicNanos());
        reportStatus();
    }

    private static UpdateSource source(CopySource told) {
        return switch (told) {
            case STORE -> UpdateSource.STORE;
            case PEER -> UpdateSource.PEER;
            case NONE -> UpdateSource.SELF;
        };
    }

    private void follow(FleetSnapshot snapshot) {
        EntryState before = mFlow.state();
        EntryState state = EntryState.of(snapshot, before);
        mFlow.update(state);
        mLimits.update(snapshot, mTimeSource.monotonicNanos());
        if (!state.routes().equals(before.routes())) {
            snapshot.routing().ifPresent(this::configure);
        }
    }

    private void configure(RoutingConfiguration configuration) {
        mSplit.retain(configuration);
        mFlow.placer().retain(configuration);
    }

    /** Tells peers and the request path how far this instance is, on the control thread. */
    void reportStatus() {
        mLog.logWarmed(mTimeSource.monotonicNanos());
        mControlSide.updateTimes().ifPresent(mFlow::confirmed);
        boolean ready = mReadiness.isReady();
        if (ready && !mToldReady) {
            mToldReady = true;
            mNews.log(ProcessChange.Kind.READY);
        }
        mControlSide.heartbeats().update(ready, mControlSide.replica().revision());
    }
}
