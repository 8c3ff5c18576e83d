package io.masticpond.core.placement;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Chooses which loads of backend servers this instance tells its neighbors, and takes theirs.
 *
 * <p>An instance hears of a server with the answers to its own requests only: one of a hundred
 * instances once in half a minute, while a queue lasts a second or two. So the instances of an
 * availability zone tell each other of servers without a free slot, and once that they have one
 * again; what lies below hardly changes a choice, and telling it would cost three times as much. In
 * a model of 95 instances ({@code ./measure decisions}) 0.15 instead of 0.24 of the answers in a
 * burst are late.
 *
 * <p>Touched by one thread only.
 *
 * @since 0.2
 */
public final class SharedLoads {

    /** Servers told of at once at most; the rest waits for the next time. */
    private static final int MOST_AT_ONCE = 100;

    /** Servers that wait to be told of at most, so that a storm of answers takes bounded memory. */
    private static final int MOST_WAITING = 1_024;

    private final Map<Long, LoadReport> mWaiting = new HashMap<>();
    private Runnable mWhenWaiting = () -> {};
    private long mTold;
    private long mHeard;

    /**
     * Says what to do when there is something to tell, such as to {@link #take} it a while later.
     *
     * @param action runs with the first load that waits, and again if a take leaves some
     */
    public void setPendingListener(Runnable action) {
        mWhenWaiting = Assert.notNull(action, "An action");
    }

    /**
     * Takes the load that a server told with an answer to this instance.
     *
     * @param server the server
     * @param load the load
     */
    void answered(ServerLoad server, ReportedLoad load) {
        boolean full = !load.hasFreeSlot();
        if ((full || server.isReportedFull())
                && (mWaiting.size() < MOST_WAITING || mWaiting.containsKey(server.hash()))) {
            boolean isFirst = mWaiting.isEmpty();
            mWaiting.put(server.hash(), new LoadReport(server.hash(), load));
            server.setReportedFull(full);
            if (isFirst) {
                mWhenWaiting.run();
            }
        }
    }

    /**
     * Tells whether there is anything to tell.
     *
     * @return whether there is
     */
    public boolean hasPending() {
        return !mWaiting.isEmpty();
    }

    /**
     * Takes out what is to be told now.
     *
     * @return the newest load of each server, not told before
     */
    public List<LoadReport> take() {
        List<LoadReport> reports = new ArrayList<>();
        for (LoadReport each : mWaiting.values()) {
            if (reports.size() == MOST_AT_ONCE) {
                break;
            }
            reports.add(each);
        }
        reports.forEach(each -> mWaiting.remove(each.serverHash()));
        mTold += reports.size();
        if (hasPending()) {
            mWhenWaiting.run();
        }
        return reports;
    }

    /**
     * Takes what a neighbor told. A load beyond what the server's slots make likely is cut, so that
     * a neighbor that tells nonsense does no more harm than one that is silent for a while.
     *
     * @param servers the servers that this instance knows
     * @param reports the loads, of servers that may be unknown here
     * @param nowNanos the monotonic time
     */
    public void receive(ServerTable servers, List<LoadReport> reports, long nowNanos) {
        for (LoadReport each : reports) {
            ServerLoad server = servers.byHash(each.serverHash());
            if (server != null) {
                mHeard++;
                server.receivedFromPeer(each.load(), nowNanos);
                server.setReportedFull(!each.load().hasFreeSlot());
            }
        }
    }

    /**
     * Counts the loads told.
     *
     * @return how many since the start
     */
    public long reportedCount() {
        return mTold;
    }

    /**
     * Counts the loads heard of servers that are known here.
     *
     * @return how many since the start
     */
    public long receivedCount() {
        return mHeard;
    }
}
