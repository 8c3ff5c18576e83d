package io.masticpond.entry.wiring;

import io.masticpond.core.body.BodyBudget;
import io.masticpond.core.body.BodyBudgetSettings;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.masticpond.entry.settings.SettingsPart;
import io.netty.channel.EventLoop;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Distributor of reloaded settings to the parts that can change them at run time. A request in
 * progress sees either the old settings or the new ones and is never aborted.
 */
@Singleton
final class SettingsReloader {

    private final EventLoop mTraffic;
    private final PeerInstance mSelf;
    private final HeartbeatService mHeartbeats;
    private final DirectoryHandler mDirectory;
    private final SharedLimits mLimits;
    private final ServerChooser mChooser;
    private final LoadControlActivation mLoadControl;
    private final RegionBalancing mRegions;
    private final RequestFlow mFlow;
    private final BodyBudget mBodies;
    private final StopSwitch mStop;
    private final ProcessChangeLog mProcessChanges;
    private EntrySettings mSettings;

    @Inject
    SettingsReloader(
            EntrySettings settings,
            @TrafficThread EventLoop traffic,
            PeerInstance self,
            HeartbeatService heartbeats,
            DirectoryHandler directory,
            SharedLimits limits,
            ServerChooser chooser,
            LoadControlActivation loadControl,
            RegionBalancing regions,
            RequestFlow flow,
            BodyBudget bodies,
            StopSwitch stop,
            ProcessChangeLog processChanges) {
        mSettings = settings;
        mTraffic = traffic;
        mSelf = self;
        mHeartbeats = heartbeats;
        mDirectory = directory;
        mLimits = limits;
        mChooser = chooser;
        mLoadControl = loadControl;
        mRegions = regions;
        mFlow = flow;
        mBodies = bodies;
        mStop = stop;
        mProcessChanges = processChanges;
    }

    /** Applies the settings and logs what changed. */
    synchronized void apply(EntrySettings settings) {
        mDirectory.apply(settings.bounds());
        mStop.apply(settings.bounds());
        mHeartbeats.setSeeds(Seeds.internal(settings, mSelf));
        int memoryMegabytes = settings.resources().memoryMegabytes();
        mTraffic.execute(
                () -> {
                    mLimits.apply(settings.bounds());
                    mBodies.applySettings(BodyBudgetSettings.ofMemory(memoryMegabytes));
                    mChooser.applySettings(settings.placement());
                    mLoadControl.applySettings(settings.loadControl());
                    mRegions.apply(settings.bounds());
                    mFlow.crashGuard().applySettings(settings.crashes());
                    mFlow.authenticator().applySettings(settings.workspaces());
                    mFlow.statements().limits().applySettings(settings.serverLimits());
                    mFlow.statements().applySettings(settings.withdrawals());
                    mFlow.forwarding().applySettings(settings.reachability());
                });
        mProcessChanges.log(
                ProcessChange.Kind.RELOADED, SettingsPart.describeChanges(mSettings, settings));
        mSettings = settings;
    }
}
