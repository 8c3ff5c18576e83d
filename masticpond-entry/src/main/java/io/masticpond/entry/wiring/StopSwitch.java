package io.masticpond.entry.wiring;

import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.directory.DirectorySettings;
import io.masticpond.entry.lifecycle.PlannedStop;
import io.masticpond.entry.lifecycle.StopSettings;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.settings.Bounds;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Begins a planned stop, with the bounds that are in force by then. */
@Singleton
final class StopSwitch {

    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private volatile Bounds mBounds;
    private final EntryStop mActions;
    private final ProcessChangeLog mNews;
    private volatile PlannedStop mStop;

    @Inject
    StopSwitch(
            @ControlThread EventLoop control,
            TimeSource timeSource,
            EntrySettings settings,
            EntryStop actions,
            ProcessChangeLog news) {
        mControl = control;
        mTimeSource = timeSource;
        mBounds = settings.bounds();
        mActions = actions;
        mNews = news;
    }

    /** Takes other bounds, for a stop that begins after this. */
    void apply(Bounds bounds) {
        mBounds = bounds;
    }

    /** Begins the stop, on the control thread; a second wish changes nothing. */
    void begin() {
        if (isStopping()) {
            return;
        }
        mNews.log(ProcessChange.Kind.STOPPING);
        PlannedStop stop =
                new PlannedStop(
                        StopSettings.within(mBounds.stop(), DirectorySettings.DEFAULT.timeToLive()),
                        mActions,
                        mActions,
                        (delay, work) ->
                                mControl.schedule(work, delay.toNanos(), TimeUnit.NANOSECONDS),
                        mTimeSource);
        mStop = stop;
        stop.begin();
    }

    boolean isStopping() {
        PlannedStop stop = mStop;
        return stop != null && stop.isStopping();
    }
}
