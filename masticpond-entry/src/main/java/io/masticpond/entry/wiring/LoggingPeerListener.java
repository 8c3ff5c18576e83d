package io.masticpond.entry.wiring;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.ViewChange;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerListener;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Listener that logs which other instances are reachable. For the control thread only. */
final class LoggingPeerListener implements PeerListener {

    private final DecisionLog mLog;
    private final TimeSource mTimeSource;
    private final Map<InstanceId, Long> mLostNanos = new HashMap<>();

    LoggingPeerListener(DecisionLog log, TimeSource timeSource) {
        mLog = log;
        mTimeSource = timeSource;
    }

    @Override
    public void onPeerReachable(PeerInstance instance) {
        Long lost = mLostNanos.remove(instance.id());
        long inactiveMillis =
                lost == null
                        ? 0
                        : TimeUnit.NANOSECONDS.toMillis(mTimeSource.monotonicNanos() - lost);
        mLog.viewChanged(
                new ViewChange.Peer(instance.id(), instance.incarnation(), true, inactiveMillis));
    }

    @Override
    public void onPeerUnreachable(InstanceId id, boolean planned) {
        mLostNanos.put(id, mTimeSource.monotonicNanos());
        mLog.viewChanged(new ViewChange.Peer(id, RequestRecord.UNKNOWN, false, 0));
    }
}
