package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** Source of the backend servers' load reports, which are 500 to 600 ms old when used. */
final class LoadReportFeed {

    /** Maximum age of a report when it is used. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(600);

    private static final long LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventQueue mEvents;
    private final List<FakeServer> mServers;
    private final long mEndNanos;
    private Consumer<int[]> mListener = loads -> {};
    private int[] mLatestLoads;

    /**
     * Creates a feed that initially reports idle servers.
     *
     * @param events the event queue of the run
     * @param servers the servers
     * @param endNanos the virtual time at which reports stop, in nanoseconds
     */
    LoadReportFeed(EventQueue events, List<FakeServer> servers, long endNanos) {
        mEvents = events;
        mServers = servers;
        mEndNanos = endNanos;
        mLatestLoads = new int[servers.size()];
        events.schedule(0, this::sample);
    }

    /**
     * Returns the load in the latest report that has arrived.
     *
     * @param server the server
     * @return the number of requests that the server processes or queues
     */
    int load(int server) {
        return mLatestLoads[server];
    }

    /**
     * Sets the listener that receives every report on arrival.
     *
     * @param listener the listener, which receives the load of each server
     */
    void setListener(Consumer<int[]> listener) {
        mListener = listener;
    }

    private void sample() {
        int[] loads = mServers.stream().mapToInt(FakeServer::load).toArray();
        mEvents.after(LAG_NANOS, () -> arrive(loads));
        if (mEvents.nanos() < mEndNanos) {
            mEvents.after(INTERVAL_NANOS, this::sample);
        }
    }

    private void arrive(int[] loads) {
        mLatestLoads = loads;
        mListener.accept(loads);
    }
}
