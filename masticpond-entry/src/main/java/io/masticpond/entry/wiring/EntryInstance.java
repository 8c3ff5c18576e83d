package io.masticpond.entry.wiring;

import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.ServerRestarts;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * An instance, which serves clients on the traffic thread and follows the store and its peers on
 * the control thread.
 *
 * @since 0.2
 */
@Singleton
public final class EntryInstance {

    private static final long STATUS_PERIOD_MILLIS = 100;

    private final TimeSource mTimeSource;
    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final ControlComponents mControlComponents;
    private final RequestFlow mFlow;
    private final EntryListeners mListeners;
    private final SnapshotUpdates mUpdates;
    private final StopSwitch mStop;
    private final ProcessChangeLog mProcessChanges;
    private final SettingsReloader mSettings;
    private final LoadSharing mLoadSharing;
    private final CrashSharing mCrashSharing;
    private final CopyProofSharing mCopyProofSharing;
    private final ProofSharing mProofSharing;
    private final RateSharing mRateSharing;
    private final LimitSharing mLimitSharing;
    private final LoadControlWiring mLoadControl;
    private final Probing mProbing;
    private final Reachability mReachability;
    private final ServerRestarts mServerRestarts;

    @Inject
    EntryInstance(
            TimeSource timeSource,
            ProcessChangeLog processChanges,
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            ControlComponents controlComponents,
            RequestFlow flow,
            EntryListeners listeners,
            SnapshotUpdates updates,
            StopSwitch stop,
            SettingsReloader settings,
            LoadSharing loadSharing,
            CrashSharing crashSharing,
            CopyProofSharing copyProofSharing,
            ProofSharing proofSharing,
            RateSharing rateSharing,
            LimitSharing limitSharing,
            LoadControlWiring loadControl,
            Probing probing,
            Reachability reachability,
            ServerRestarts serverRestarts) {
        mTimeSource = timeSource;
        mProcessChanges = processChanges;
        mTraffic = traffic;
        mControl = control;
        mControlComponents = controlComponents;
        mFlow = flow;
        mListeners = listeners;
        mUpdates = updates;
        mStop = stop;
        mSettings = settings;
        mLoadSharing = loadSharing;
        mCrashSharing = crashSharing;
        mCopyProofSharing = copyProofSharing;
        mProofSharing = proofSharing;
        mRateSharing = rateSharing;
        mLimitSharing = limitSharing;
        mLoadControl = loadControl;
        mProbing = probing;
        mReachability = reachability;
        mServerRestarts = serverRestarts;
    }

    /** Starts all parts. The instance becomes ready once routes and backend servers are known. */
    public void start() {
        mProcessChanges.log(ProcessChange.Kind.STARTED);
        mLoadSharing.start();
        mCrashSharing.start();
        mCopyProofSharing.start();
        mProofSharing.start();
        mRateSharing.start();
        mLimitSharing.start();
        mLoadControl.start();
        mProbing.start();
        mReachability.start();
        mServerRestarts.start();
        if (mFlow.spending().isPresent()) {
            SpendingCheck spending = mFlow.spending().get();
            mTraffic.execute(spending::start);
            mControlComponents
                    .replica()
                    .restoreTracker()
                    .addRestoreListener(() -> mTraffic.execute(spending::onStoreRestored));
        }
        mControl.execute(
                () -> {
                    mControlComponents.start();
                    mControl.scheduleAtFixedRate(
                            mUpdates::reportStatus,
                            STATUS_PERIOD_MILLIS,
                            STATUS_PERIOD_MILLIS,
                            TimeUnit.MILLISECONDS);
                    mListeners.serveOperators();
                });
        mListeners.start(() -> mControl.execute(mUpdates::reportStatus));
    }

    /** Begins a planned stop, at whose end the {@link ProcessEnd} action runs. */
    public void stop() {
        long requestedNanos = mTimeSource.monotonicNanos();
        mControl.execute(() -> mStop.begin(requestedNanos));
    }

    /**
     * Applies reloaded settings. Those that can change at run time come into force at once; a log
     * line names those that need a restart. No request is aborted and no connection is closed.
     *
     * @param settings the settings, which differ from the previous ones
     */
    public void reload(EntrySettings settings) {
        mSettings.apply(settings);
    }
}
