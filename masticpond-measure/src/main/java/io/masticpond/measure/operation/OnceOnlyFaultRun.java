package io.masticpond.measure.operation;

import io.masticpond.testing.backend.BackendServerFaults;
import io.masticpond.testing.backend.BackendServerStandIn;
import io.masticpond.testing.platform.PlatformCallDisposition;
import io.masticpond.testing.platform.PlatformFaults;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Run that sends once-only operations at a steady rate while instances, platform, links and backend
 * servers fail.
 */
final class OnceOnlyFaultRun {

    private static final int OPERATIONS = 20_000;
    private static final int OPERATIONS_PER_SECOND = 1_000;
    private static final int BATCH_MILLIS = 10;
    private static final long KILL_INTERVAL_MILLIS = 1_500;
    private static final long DETECTION_MILLIS = 300;
    private static final long RESTART_DELAY_MILLIS = 700;
    private static final long PAUSE_INTERVAL_MILLIS = 2_300;
    private static final Duration PAUSE = Duration.ofSeconds(1);
    private static final long STOP_INTERVAL_MILLIS = 4_300;
    private static final long OUTAGE_START_MILLIS = 8_000;
    private static final long OUTAGE_LENGTH_MILLIS = 2_000;
    private static final double RESET_SHARE = 0.01;
    private static final double REFUSE_SHARE = 0.02;
    private static final double TRUNCATE_SHARE = 0.01;
    private static final double SLOW_FACTOR = 300;
    private static final double LOST_WRITE_SHARE = 0.02;
    private static final double LATE_WRITE_SHARE = 0.01;
    private static final long LATE_WRITE_MILLIS = 50;
    private static final long FAULT_CLEARANCE_DELAY_MILLIS = 1_500;
    private static final long COMPLETION_TIMEOUT_SECONDS = 20;

    private final MeasuredFleet mFleet;
    private final SplittableRandom mRandom;
    private final OnceOnlyCounters mCounters = new OnceOnlyCounters();
    private final TaskScheduler mCallers = new TaskScheduler(1);
    private final TaskScheduler mFaults = new TaskScheduler(3);
    private final CountDownLatch mPending = new CountDownLatch(OPERATIONS);
    private final List<OnceOnlyCaller> mOperations = new ArrayList<>();
    private volatile boolean mInjectingFaults = true;
    private int mKills;
    private int mPauses;
    private int mStops;

    OnceOnlyFaultRun(MeasuredFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new SplittableRandom(seed);
    }

    OnceOnlyCounters run() throws InterruptedException {
        setBackendFaults();
        mFleet.platform().setFaults(lossyPlatform());
        scheduleFaults();
        for (int i = 0; i < OPERATIONS; i++) {
            mOperations.add(
                    new OnceOnlyCaller(
                            mFleet, mCounters, mCallers, mRandom.split(), i, mPending::countDown));
        }
        int perBatch = OPERATIONS_PER_SECOND * BATCH_MILLIS / 1_000;
        for (int i = 0; i < OPERATIONS; i++) {
            OnceOnlyCaller caller = mOperations.get(i);
            long dueMillis = (long) (i / perBatch) * BATCH_MILLIS;
            mCallers.afterMillis(dueMillis, caller::start);
        }
        TimeUnit.MILLISECONDS.sleep(OPERATIONS * 1_000L / OPERATIONS_PER_SECOND);
        mInjectingFaults = false;
        TimeUnit.MILLISECONDS.sleep(FAULT_CLEARANCE_DELAY_MILLIS);
        clearFaults();
        mPending.await(COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS);
        mCallers.close();
        mFaults.close();
        countDuplicates();
        return mCounters;
    }

    int operations() {
        return OPERATIONS;
    }

    long unfinished() {
        return mPending.getCount();
    }

    int kills() {
        return mKills;
    }

    int pauses() {
        return mPauses;
    }

    int stops() {
        return mStops;
    }

    private void setBackendFaults() {
        int index = 0;
        for (BackendServerStandIn server : mFleet.backends().servers()) {
            double slowFactor = index++ % MeasuredFleet.BACKENDS == 0 ? SLOW_FACTOR : 1;
            server.setFaults(
                    new BackendServerFaults(
                            BackendServerFaults.HealthClaim.TRUE,
                            0,
                            false,
                            false,
                            RESET_SHARE,
                            REFUSE_SHARE,
                            TRUNCATE_SHARE,
                            0,
                            slowFactor));
        }
    }

    private static PlatformFaults lossyPlatform() {
        return new PlatformFaults(
                PlatformCallDisposition.SERVED,
                0,
                LOST_WRITE_SHARE,
                LATE_WRITE_SHARE,
                LATE_WRITE_MILLIS,
                0,
                0);
    }

    private void clearFaults() {
        mFleet.platform().setFaults(PlatformFaults.NONE);
        mFleet.backends().servers().forEach(server -> server.setFaults(BackendServerFaults.NONE));
    }

    private void scheduleFaults() {
        repeat(KILL_INTERVAL_MILLIS, this::killOne);
        repeat(PAUSE_INTERVAL_MILLIS, this::pauseOne);
        repeat(STOP_INTERVAL_MILLIS, this::stopOne);
        mFaults.afterMillis(
                OUTAGE_START_MILLIS,
                () ->
                        mFleet.platform()
                                .setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED)));
        mFaults.afterMillis(
                OUTAGE_START_MILLIS + OUTAGE_LENGTH_MILLIS,
                () -> mFleet.platform().setFaults(lossyPlatform()));
    }

    private void repeat(long millis, Runnable fault) {
        mFaults.everyMillis(
                millis,
                () -> {
                    if (mInjectingFaults) {
                        fault.run();
                    }
                });
    }

    private int randomAliveIndex() {
        int index;
        do {
            index = mRandom.nextInt(MeasuredFleet.INSTANCES);
        } while (!mFleet.instance(index).isAlive());
        return index;
    }

    private synchronized void killOne() {
        int index = randomAliveIndex();
        mKills++;
        mFleet.instance(index).kill();
        restartLater(index);
    }

    private void restartLater(int index) {
        mFaults.afterMillis(DETECTION_MILLIS, () -> mFleet.markDead(index));
        mFaults.afterMillis(RESTART_DELAY_MILLIS, () -> mFleet.start(index));
    }

    private synchronized void pauseOne() {
        mPauses++;
        mFleet.instance(randomAliveIndex()).pause(PAUSE);
    }

    private void stopOne() {
        int index;
        synchronized (this) {
            index = randomAliveIndex();
            mStops++;
        }
        mFleet.instance(index).stop();
        restartLater(index);
    }

    private void countDuplicates() {
        for (OnceOnlyCaller caller : mOperations) {
            if (mFleet.executions().count(caller.path()) > 1) {
                mCounters.mDuplicates.increment();
            }
        }
    }
}
