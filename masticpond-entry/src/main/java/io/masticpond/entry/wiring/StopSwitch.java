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

/** Starter of the planned stop, with the bounds in force at that time. */
@Singleton
final class StopSwitch {

    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private volatile Bounds mBounds;
    private final EntryStop mActions;
    private final ProcessChangeLog mProcessChanges;
    private volatile PlannedStop mStop;

    @Inject
    StopSwitch(
            @ControlThread EventLoop control,
            TimeSource timeSource,
            EntrySettings settings,
            EntryStop actions,
            ProcessChangeLog processChanges) {
        mControl = control;
        mTimeSource = timeSource;
        mBounds = settings.bounds();
        mActions = actions;
        mProcessChanges = processChanges;
    }

    /** Applies other bounds to a stop that begins later. */
    void apply(Bounds bounds) {
        mBounds = bounds;
    }

    /**
     * Begins the stop; further calls have no effect. Must be called on the control thread.
     *
     * @param requestedNanos the monotonic time at which the stop was requested
     */
    void begin(long requestedNanos) {
        if (isStopping()) {
            return;
        }
        mProcessChanges.log(ProcessChange.Kind.STOPPING);
        PlannedStop stop =
                new PlannedStop(
                        StopSettings.within(mBounds.stop(), DirectorySettings.DEFAULT.timeToLive()),
                        mActions,
                        mActions,
                        (delay, work) ->
                                mControl.schedule(work, delay.toNanos(), TimeUnit.NANOSECONDS),
                        mTimeSource);
        mStop = stop;
        stop.begin(requestedNanos);
    }

    boolean isStopping() {
        PlannedStop stop = mStop;
        return stop != null && stop.isStopping();
    }
}
