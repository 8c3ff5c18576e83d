package io.masticpond.measure.drain;

import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.OperationKind;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.steering.AdmitterSteering;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.SharedStateContinuousSampler;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;

/**
 * Open-loop source of requests that arrive in a Poisson process, independent of how fast they are
 * answered.
 */
final class DrainArrivals {

    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final byte[] BODY = new byte[64];
    private static final int PRIORITY = 5;

    private final AdmitterSteering mSteering;
    private final EventLoop mSteeringLoop;
    private final TimeSource mTimeSource;
    private final SharedStateContinuousSampler mInterarrivalNanos;
    private final Thread mThread = new Thread(this::run, "arrivals");
    private final LongAdder mAnswered = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mIncomplete = new LongAdder();
    private volatile boolean mRunning = true;

    DrainArrivals(
            AdmitterSteering steering,
            EventLoop steeringLoop,
            TimeSource timeSource,
            double requestsPerSecond,
            UniformRandomProvider random) {
        mSteering = steering;
        mSteeringLoop = steeringLoop;
        mTimeSource = timeSource;
        double meanNanos = Duration.ofSeconds(1).toNanos() / requestsPerSecond;
        mInterarrivalNanos = ZigguratSampler.Exponential.of(random, meanNanos);
    }

    void start() {
        mThread.start();
    }

    void stop() throws InterruptedException {
        mRunning = false;
        mThread.join();
    }

    long answered() {
        return mAnswered.sum();
    }

    long refused() {
        return mRefused.sum();
    }

    /** Returns the number of requests that were sent to a server and got no complete answer. */
    long incomplete() {
        return mIncomplete.sum();
    }

    private void run() {
        double nextNanos = mTimeSource.monotonicNanos();
        for (int number = 0; mRunning; number++) {
            nextNanos += mInterarrivalNanos.sample();
            while (mTimeSource.monotonicNanos() < nextNanos) {
                LockSupport.parkNanos((long) nextNanos - mTimeSource.monotonicNanos());
            }
            SteeredRequest request = request(number);
            mSteeringLoop.put(
                    () -> mSteering.offer(DrainDirectory.SHARD, request, this::recordCompletion));
        }
    }

    private SteeredRequest request(int number) {
        RequestHead head =
                new RequestHead(
                        new RequestId("drain-" + number),
                        DrainDirectory.SERVICE,
                        mTimeSource.monotonicNanos() + DEADLINE.toNanos(),
                        PRIORITY,
                        OperationKind.UNKNOWN);
        return new SteeredRequest(
                head, Optional.empty(), "POST", "/layouts", List.of(), BODY, Optional.empty());
    }

    private void recordCompletion(RequestCompletion completion) {
        if (completion instanceof RequestCompletion.Refused refused) {
            boolean mayHaveRun = refused.refusal().verdict() != Verdict.DID_NOT_RUN;
            (mayHaveRun ? mIncomplete : mRefused).increment();
        } else {
            mAnswered.increment();
        }
    }
}
