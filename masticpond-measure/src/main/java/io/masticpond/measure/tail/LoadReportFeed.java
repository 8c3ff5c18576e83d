package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** The load reports of the backend servers, 500 to 600 ms old. */
final class LoadReportFeed {

    /** How old a report may be when it is used. */
    static final Duration MAXIMUM_AGE = Duration.ofMillis(600);

    private static final long LAG_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventQueue mEvents;
    private final List<FakeServer> mServers;
    private final long mEndNanos;
    private Consumer<int[]> mListener = loads -> {};
    private int[] mLoads;

    /**
     * Starts with reports of idle servers.
     *
     * @param events the virtual time
     * @param servers the servers
     * @param endNanos when reports stop
     */
    LoadReportFeed(EventQueue events, List<FakeServer> servers, long endNanos) {
        mEvents = events;
        mServers = servers;
        mEndNanos = endNanos;
        mLoads = new int[servers.size()];
        events.schedule(0, this::sample);
    }

    /**
     * Tells what the newest report that has arrived says.
     *
     * @param server the server
     * @return the requests that it works on or queues
     */
    int load(int server) {
        return mLoads[server];
    }

    /**
     * Passes every report on when it arrives.
     *
     * @param listener takes the load of each server
     */
    void listen(Consumer<int[]> listener) {
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
        mLoads = loads;
        mListener.accept(loads);
    }
}
