package io.masticpond.entry.wiring;

import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.request.SpendingCheck;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * One instance: serves clients on the traffic thread, and follows the store and its peers on the
 * control thread.
 *
 * @since 0.2
 */
@Singleton
public final class EntryInstance {

    private static final long STATUS_PERIOD_MILLIS = 100;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final ControlComponents mControlSide;
    private final RequestFlow mFlow;
    private final EntryListeners mListeners;
    private final SnapshotUpdates mUpdates;
    private final StopSwitch mStop;
    private final ProcessChangeLog mNews;
    private final SettingsReloader mSettings;
    private final LoadSharing mLoadSharing;
    private final CrashSharing mCrashSharing;
    private final ProofSharing mProofSharing;
    private final RateSharing mRateSharing;
    private final LimitSharing mLimitSharing;

    @Inject
    EntryInstance(
            ProcessChangeLog news,
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            ControlComponents controlSide,
            RequestFlow flow,
            EntryListeners listeners,
            SnapshotUpdates updates,
            StopSwitch stop,
            SettingsReloader settings,
            LoadSharing loadSharing,
            CrashSharing crashSharing,
            ProofSharing proofSharing,
            RateSharing rateSharing,
            LimitSharing limitSharing) {
        mNews = news;
        mTraffic = traffic;
        mControl = control;
        mControlSide = controlSide;
        mFlow = flow;
        mListeners = listeners;
        mUpdates = updates;
        mStop = stop;
        mSettings = settings;
        mLoadSharing = loadSharing;
        mCrashSharing = crashSharing;
        mProofSharing = proofSharing;
        mRateSharing = rateSharing;
        mLimitSharing = limitSharing;
    }

    /** Starts all parts; readiness follows once routes and backend servers are known. */
    public void start() {
        mNews.log(ProcessChange.Kind.STARTED);
        mLoadSharing.start();
        mCrashSharing.start();
        mProofSharing.start();
        mRateSharing.start();
        mLimitSharing.start();
        if (mFlow.spending().isPresent()) {
            SpendingCheck spending = mFlow.spending().get();
            mTraffic.execute(spending::start);
            mControlSide
                    .replica()
                    .restoreTracker()
                    .addRestoreListener(() -> mTraffic.execute(spending::storeRestored));
        }
        mControl.execute(
                () -> {
                    mControlSide.start();
                    mControl.scheduleAtFixedRate(
                            mUpdates::reportStatus,
                            STATUS_PERIOD_MILLIS,
                            STATUS_PERIOD_MILLIS,
                            TimeUnit.MILLISECONDS);
                    mListeners.serveOperators();
                });
        mListeners.start(() -> mControl.execute(mUpdates::reportStatus));
    }

    /** Begins a planned stop, which ends with the exit given. */
    public void stop() {
        mControl.execute(mStop::begin);
    }

    /**
     * Takes settings that were read again: those that can come into force at once, and a line of
     * the log tells what waits for a restart. No request and no connection ends by it.
     *
     * @param settings the settings, which differ from those before
     */
    public void reload(EntrySettings settings) {
        mSettings.apply(settings);
    }
}
