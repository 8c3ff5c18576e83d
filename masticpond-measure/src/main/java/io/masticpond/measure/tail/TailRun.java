package io.masticpond.measure.tail;

import io.masticpond.measure.support.EventQueue;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A single run of one policy: virtual time, fake servers, arrivals and the latencies at clients.
 */
final class TailRun {

    private static final long POLICY_SEED = 0x5eed;
    private static final int WARM_UP_DIVISOR = 20;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long MAX_LATENCY_NANOS = TimeUnit.MINUTES.toNanos(10);

    private final EventQueue mEvents = new EventQueue();
    private final List<FakeServer> mServers = new ArrayList<>();
    private final Workload mWorkload;
    private final LoadReportFeed mReports;
    private final UniformRandomProvider mRandom;
    private final Histogram mLatencies = new Histogram(MAX_LATENCY_NANOS, SIGNIFICANT_DIGITS);
    private int mRefused;

    TailRun(Workload workload) {
        mWorkload = workload;
        mRandom = RandomSource.XO_RO_SHI_RO_128_PP.create(POLICY_SEED);
        for (int i = 0; i < TailTopology.SERVERS; i++) {
            mServers.add(new FakeServer(mEvents, TailTopology.slots(i)));
        }
        mReports = new LoadReportFeed(mEvents, mServers, workload.endNanos());
    }

    /**
     * Runs until all requests have ended.
     *
     * @param kind the policy
     */
    void run(TailPolicyKind kind) {
        TailPolicy policy = kind.create(this);
        scheduleArrival(0, policy);
        mEvents.run();
    }

    private void scheduleArrival(int request, TailPolicy policy) {
        mEvents.schedule(
                mWorkload.arrivalNanos()[request],
                () -> {
                    if (request + 1 < mWorkload.size()) {
                        scheduleArrival(request + 1, policy);
                    }
                    policy.arrive(request);
                });
    }

    /**
     * Records that the client of a request receives its answer at the current virtual time. The
     * latencies of the first twentieth of all requests are not recorded, because they belong to the
     * warm-up.
     *
     * @param request the request
     */
    void answered(int request) {
        if (request >= mWorkload.size() / WARM_UP_DIVISOR) {
            mLatencies.recordValue(mEvents.nanos() - mWorkload.arrivalNanos()[request]);
        }
    }

    /** Records a refused request. */
    void refused() {
        mRefused++;
    }

    /**
     * Runs a request at a server.
     *
     * @param server the server
     * @param request the request
     * @param done called at the server on completion
     */
    void serve(int server, int request, Runnable done) {
        mServers.get(server).submit(mWorkload.serviceNanos()[request], done);
    }

    EventQueue events() {
        return mEvents;
    }

    List<FakeServer> servers() {
        return mServers;
    }

    LoadReportFeed reports() {
        return mReports;
    }

    UniformRandomProvider random() {
        return mRandom;
    }

    Workload workload() {
        return mWorkload;
    }

    Histogram latencies() {
        return mLatencies;
    }

    int refusedCount() {
        return mRefused;
    }

    long overloadedNanos() {
        return mServers.stream().mapToLong(FakeServer::overloadedNanos).sum();
    }

    double peakUse() {
        return mServers.stream().mapToDouble(FakeServer::peakUse).max().orElse(0);
    }
}
