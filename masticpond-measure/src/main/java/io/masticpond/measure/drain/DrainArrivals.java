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

/** Offers requests at the times of a Poisson process, however slowly they are answered. */
final class DrainArrivals {

    private static final Duration DEADLINE = Duration.ofSeconds(3);
    private static final byte[] BODY = new byte[64];
    private static final int PRIORITY = 5;

    private final AdmitterSteering mSteering;
    private final EventLoop mDuty;
    private final TimeSource mTimeSource;
    private final SharedStateContinuousSampler mGaps;
    private final Thread mThread = new Thread(this::run, "arrivals");
    private final LongAdder mAnswered = new LongAdder();
    private final LongAdder mRefused = new LongAdder();
    private final LongAdder mCut = new LongAdder();
    private volatile boolean mRunning = true;

    DrainArrivals(
            AdmitterSteering steering,
            EventLoop duty,
            TimeSource timeSource,
            double requestsPerSecond,
            UniformRandomProvider random) {
        mSteering = steering;
        mDuty = duty;
        mTimeSource = timeSource;
        double meanNanos = Duration.ofSeconds(1).toNanos() / requestsPerSecond;
        mGaps = ZigguratSampler.Exponential.of(random, meanNanos);
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

    /** Counts the requests that were sent to a server and got no whole answer. */
    long cut() {
        return mCut.sum();
    }

    private void run() {
        double next = mTimeSource.monotonicNanos();
        for (int number = 0; mRunning; number++) {
            next += mGaps.sample();
            while (mTimeSource.monotonicNanos() < next) {
                LockSupport.parkNanos((long) next - mTimeSource.monotonicNanos());
            }
            SteeredRequest request = request(number);
            mDuty.put(() -> mSteering.offer(DrainDirectory.SHARD, request, this::end));
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

    private void end(RequestCompletion end) {
        if (end instanceof RequestCompletion.Refused refused) {
            boolean ran = refused.refusal().verdict() != Verdict.DID_NOT_RUN;
            (ran ? mCut : mRefused).increment();
        } else {
            mAnswered.increment();
        }
    }
}
