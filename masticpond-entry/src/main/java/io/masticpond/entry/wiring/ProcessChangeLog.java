package io.masticpond.entry.wiring;

import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ProcessChange;
import io.masticpond.entry.peer.PeerInstance;
import java.time.Duration;
import javax.inject.Inject;
import javax.inject.Singleton;

/** Logger of the state changes of this process, with the time since this logger was created. */
@Singleton
final class ProcessChangeLog {

    private final TimeSource mTimeSource;
    private final PeerInstance mSelf;
    private final DecisionLog mLog;
    private final long mStartNanos;

    @Inject
    ProcessChangeLog(TimeSource timeSource, PeerInstance self, DecisionLog log) {
        mTimeSource = timeSource;
        mSelf = self;
        mLog = log;
        mStartNanos = timeSource.monotonicNanos();
    }

    void log(ProcessChange.Kind kind) {
        log(kind, null);
    }

    void log(ProcessChange.Kind kind, String detail) {
        long millis = Duration.ofNanos(mTimeSource.monotonicNanos() - mStartNanos).toMillis();
        mLog.processChanged(
                new ProcessChange(mSelf.id(), mSelf.incarnation(), kind, millis, detail));
    }
}
