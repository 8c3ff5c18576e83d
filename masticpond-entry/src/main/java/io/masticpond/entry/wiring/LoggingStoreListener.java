package io.masticpond.entry.wiring;

import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ViewChange;
import io.masticpond.entry.replica.StoreListener;
import java.time.Duration;

/**
 * Listener that logs when the platform's store becomes unavailable and when it is available again.
 */
final class LoggingStoreListener implements StoreListener {

    private final DecisionLog mLog;

    LoggingStoreListener(DecisionLog log) {
        mLog = log;
    }

    @Override
    public void storeLost() {
        mLog.viewChanged(new ViewChange.Store(false, 0, null));
    }

    @Override
    public void storeRegained(Duration outage) {
        mLog.viewChanged(new ViewChange.Store(true, outage.toMillis(), null));
    }
}
