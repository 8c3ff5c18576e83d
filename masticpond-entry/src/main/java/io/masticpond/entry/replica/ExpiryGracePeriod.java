package io.masticpond.entry.replica;

import java.time.Duration;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Period after an outage of the store in which backend servers are kept although their entries are
 * missing, since these may have expired during the outage and are written again. Confined to the
 * control thread.
 */
final class ExpiryGracePeriod {

    private static final Logger sLogger = LoggerFactory.getLogger(ExpiryGracePeriod.class);

    private final Scheduler mScheduler;
    private final ReplicaSettings.Outage mSettings;
    private final ServerDocuments mServers;
    private final Runnable mDropped;
    private Runnable mTimer = () -> {};

    /**
     * Creates a period that has not begun.
     *
     * @param context the clocks and times
     * @param servers the backend servers
     * @param dropped runs after servers that are still missing were dropped
     */
    ExpiryGracePeriod(ReplicaContext context, ServerDocuments servers, Runnable dropped) {
        mScheduler = context.scheduler();
        mSettings = context.settings().outage();
        mServers = servers;
        mDropped = dropped;
    }

    void storeLost() {
        mTimer.run();
        mServers.setRetainsRemoved(false);
    }

    void storeRegained(Duration outage) {
        boolean mayHaveExpired = outage.compareTo(mSettings.expiryAfter()) >= 0;
        mServers.setRetainsRemoved(mayHaveExpired);
        if (mayHaveExpired || mServers.unconfirmed() > 0) {
            mTimer.run();
            mTimer = mScheduler.schedule(mSettings.confirmWithin(), this::end);
        }
    }

    void stop() {
        mTimer.run();
    }

    private void end() {
        mServers.setRetainsRemoved(false);
        int missing = mServers.unconfirmed();
        if (missing > 0) {
            sLogger.info("STORE  {} servers have not registered again after the outage", missing);
            mServers.dropUnconfirmed();
            mDropped.run();
        }
    }
}
