package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Exchange of the loads of backend servers with the neighbors of this instance.
 *
 * <p>An instance receives the load of a server only with the answers to its own requests: with a
 * hundred instances, once in half a minute for each server, while a queue lasts a second or two. So
 * the instances of an availability zone report to each other the servers without a free slot, and
 * report once that a server has a free slot again; lower loads hardly change a choice, and
 * reporting them would cost three times as much. In a model of 95 instances ({@code ./measure
 * decisions}) 0.15 instead of 0.24 of the answers in a burst are late.
 *
 * <p>A server is also reported when it becomes slow, again after the time for which that value is
 * meaningful, and once when it is no longer slow.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class SharedLoads {

    /** Maximum number of loads reported at once; the rest remains pending. */
    private static final int MAXIMUM_BATCH = 100;

    /** Maximum number of pending loads, so that a burst of answers takes bounded memory. */
    private static final int MAXIMUM_PENDING = 1_024;

    private final Map<Long, LoadReport> mPending = new HashMap<>();
    private final ServiceSpeeds mSpeeds;
    private Runnable mPendingListener = () -> {};
    private long mReportedCount;
    private long mReceivedCount;

    /**
     * Creates shared loads without any pending.
     *
     * @param speeds the speeds of the servers, by which a slow server is recognized
     */
    SharedLoads(ServiceSpeeds speeds) {
        mSpeeds = Assert.notNull(speeds, "Speeds of services");
    }

    /**
     * Sets the action to run when loads are pending, such as to schedule a call of {@link #take}.
     *
     * @param action the action, which runs when the first load becomes pending, and again if a call
     *     of {@link #take} leaves some pending
     */
    public void setPendingListener(Runnable action) {
        mPendingListener = Assert.notNull(action, "An action");
    }

    /**
     * Records the load that a server reported with an answer to this instance.
     *
     * @param server the server
     * @param load the load
     * @param nowNanos the current monotonic time
     */
    void recordLoad(ServerLoad server, ReportedLoad load, long nowNanos) {
        boolean isFull = !load.hasFreeSlot();
        boolean isSlow = mSpeeds.isSlow(server, load);
        boolean isReported =
                isFull
                        || server.isReportedFull()
                        || isSlow != server.isReportedSlow()
                        || (isSlow && isOutdated(server, nowNanos));
        if (isReported
                && (mPending.size() < MAXIMUM_PENDING || mPending.containsKey(server.hash()))) {
            boolean isFirst = mPending.isEmpty();
            mPending.put(server.hash(), new LoadReport(server.hash(), load));
            server.setReportedFull(isFull);
            server.setReportedSlow(isSlow, nowNanos);
            if (isFirst) {
                mPendingListener.run();
            }
        }
    }

    private boolean isOutdated(ServerLoad server, long nowNanos) {
        return server.reportedSlowAgeNanos(nowNanos)
                >= mSpeeds.persistenceNanos(server.server().service());
    }

    /**
     * Determines whether loads are pending.
     *
     * @return whether at least one load is pending
     */
    public boolean hasPending() {
        return !mPending.isEmpty();
    }

    /**
     * Removes and returns the loads to report now.
     *
     * @return the latest unreported load of each server
     */
    public List<LoadReport> take() {
        List<LoadReport> reports = new ArrayList<>();
        for (LoadReport each : mPending.values()) {
            if (reports.size() == MAXIMUM_BATCH) {
                break;
            }
            reports.add(each);
        }
        reports.forEach(each -> mPending.remove(each.serverHash()));
        mReportedCount += reports.size();
        if (hasPending()) {
            mPendingListener.run();
        }
        return reports;
    }

    /**
     * Applies the reports of a neighbor. A load that is implausibly high for the server's slots is
     * capped, so that a neighbor with invalid reports does no more harm than one that is
     * unresponsive for a while.
     *
     * @param servers the servers known to this instance
     * @param reports the reports, possibly of servers that are unknown here
     * @param nowNanos the current monotonic time
     */
    public void receive(ServerTable servers, List<LoadReport> reports, long nowNanos) {
        for (LoadReport each : reports) {
            ServerLoad server = servers.byHash(each.serverHash());
            if (server != null) {
                mReceivedCount++;
                server.receivedFromPeer(each.load(), nowNanos);
                server.setReportedFull(!each.load().hasFreeSlot());
                mSpeeds.recordPeerReport(server, each.load(), nowNanos);
                server.setReportedSlow(mSpeeds.isSlow(server, each.load()), nowNanos);
            }
        }
    }

    /**
     * Returns the number of loads reported.
     *
     * @return the number since the start
     */
    public long reportedCount() {
        return mReportedCount;
    }

    /**
     * Returns the number of loads received for servers that are known here.
     *
     * @return the number since the start
     */
    public long receivedCount() {
        return mReceivedCount;
    }
}
