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

/** Sends operations at a steady rate while instances, platform, links and backend servers fail. */
final class OnceOnlyFaultRun {

    private static final int OPERATIONS = 20_000;
    private static final int RATE = 1_000;
    private static final int BATCH_MILLIS = 10;
    private static final long KILL_MILLIS = 1_500;
    private static final long NOTICE_MILLIS = 300;
    private static final long RESTART_MILLIS = 700;
    private static final long PAUSE_MILLIS = 2_300;
    private static final Duration PAUSE = Duration.ofSeconds(1);
    private static final long STOP_MILLIS = 4_300;
    private static final long OUTAGE_MILLIS = 8_000;
    private static final long OUTAGE_LENGTH_MILLIS = 2_000;
    private static final double RESET_SHARE = 0.01;
    private static final double REFUSE_SHARE = 0.02;
    private static final double TRUNCATE_SHARE = 0.01;
    private static final double SLOW_FACTOR = 300;
    private static final double LOST_WRITE_SHARE = 0.02;
    private static final double LATE_WRITE_SHARE = 0.01;
    private static final long LATE_MILLIS = 50;
    private static final long CALM_MILLIS = 1_500;
    private static final long SETTLE_SECONDS = 20;

    private final MeasuredFleet mFleet;
    private final SplittableRandom mRandom;
    private final OnceOnlyCounters mTally = new OnceOnlyCounters();
    private final TaskThread mCallers = new TaskThread(1);
    private final TaskThread mFaults = new TaskThread(3);
    private final CountDownLatch mOpen = new CountDownLatch(OPERATIONS);
    private final List<OnceOnlyCaller> mOperations = new ArrayList<>();
    private volatile boolean mStorming = true;
    private int mKills;
    private int mPauses;
    private int mStops;

    OnceOnlyFaultRun(MeasuredFleet fleet, long seed) {
        mFleet = fleet;
        mRandom = new SplittableRandom(seed);
    }

    OnceOnlyCounters run() throws InterruptedException {
        backendFaults();
        mFleet.platform().setFaults(lossyPlatform());
        scheduleFaults();
        for (int i = 0; i < OPERATIONS; i++) {
            mOperations.add(
                    new OnceOnlyCaller(
                            mFleet, mTally, mCallers, mRandom.split(), i, mOpen::countDown));
        }
        int perBatch = RATE * BATCH_MILLIS / 1_000;
        for (int i = 0; i < OPERATIONS; i++) {
            OnceOnlyCaller caller = mOperations.get(i);
            long due = (long) (i / perBatch) * BATCH_MILLIS;
            mCallers.afterMillis(due, caller::start);
        }
        TimeUnit.MILLISECONDS.sleep(OPERATIONS * 1_000L / RATE);
        mStorming = false;
        TimeUnit.MILLISECONDS.sleep(CALM_MILLIS);
        clearFaults();
        mOpen.await(SETTLE_SECONDS, TimeUnit.SECONDS);
        mCallers.close();
        mFaults.close();
        countDuplicates();
        return mTally;
    }

    int operations() {
        return OPERATIONS;
    }

    long unfinished() {
        return mOpen.getCount();
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

    private void backendFaults() {
        int index = 0;
        for (BackendServerStandIn server : mFleet.backends().servers()) {
            double slow = index++ % MeasuredFleet.BACKENDS == 0 ? SLOW_FACTOR : 1;
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
                            slow));
        }
    }

    private static PlatformFaults lossyPlatform() {
        return new PlatformFaults(
                PlatformCallDisposition.SERVED,
                0,
                LOST_WRITE_SHARE,
                LATE_WRITE_SHARE,
                LATE_MILLIS,
                0,
                0);
    }

    private void clearFaults() {
        mFleet.platform().setFaults(PlatformFaults.NONE);
        mFleet.backends().servers().forEach(server -> server.setFaults(BackendServerFaults.NONE));
    }

    private void scheduleFaults() {
        every(KILL_MILLIS, this::killOne);
        every(PAUSE_MILLIS, this::pauseOne);
        every(STOP_MILLIS, this::stopOne);
        mFaults.afterMillis(
                OUTAGE_MILLIS,
                () ->
                        mFleet.platform()
                                .setFaults(PlatformFaults.outage(PlatformCallDisposition.REFUSED)));
        mFaults.afterMillis(
                OUTAGE_MILLIS + OUTAGE_LENGTH_MILLIS,
                () -> mFleet.platform().setFaults(lossyPlatform()));
    }

    private void every(long millis, Runnable fault) {
        mFaults.everyMillis(
                millis,
                () -> {
                    if (mStorming) {
                        fault.run();
                    }
                });
    }

    private int anyAlive() {
        int index;
        do {
            index = mRandom.nextInt(MeasuredFleet.INSTANCES);
        } while (!mFleet.instance(index).isAlive());
        return index;
    }

    private synchronized void killOne() {
        int index = anyAlive();
        mKills++;
        mFleet.instance(index).kill();
        restartLater(index);
    }

    private void restartLater(int index) {
        mFaults.afterMillis(NOTICE_MILLIS, () -> mFleet.suspect(index));
        mFaults.afterMillis(RESTART_MILLIS, () -> mFleet.start(index));
    }

    private synchronized void pauseOne() {
        mPauses++;
        mFleet.instance(anyAlive()).pause(PAUSE);
    }

    private void stopOne() {
        int index;
        synchronized (this) {
            index = anyAlive();
            mStops++;
        }
        mFleet.instance(index).stop();
        restartLater(index);
    }

    private void countDuplicates() {
        for (OnceOnlyCaller caller : mOperations) {
            if (mFleet.runs().executions(caller.path()) > 1) {
                mTally.mDuplicates.increment();
            }
        }
    }
}
