package io.masticpond.daemon.eventloop;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * One named thread that runs tasks from one bounded ring, and periodic tasks between them.
 *
 * <p>State that belongs to a duty is touched by its thread only, so it needs no locks. When the
 * ring is full, {@link #offer} returns false and the giver must refuse or drop the work; nothing
 * blocks. A task that throws is logged and the duty goes on.
 *
 * @since 0.1
 */
public final class EventLoop implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(EventLoop.class);
    private static final long STOP_TIMEOUT_MILLIS = 5_000;
    private static final long LONGEST_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long ROOM_WAIT_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

    private final String mName;
    private final TimeSource mTimeSource;
    private final MpscBlockingConsumerArrayQueue<Runnable> mRing;
    private final List<PeriodicTask> mPeriodicTasks = new ArrayList<>();
    private final LongAdder mRefused = new LongAdder();
    private final Thread mThread;
    private volatile boolean mRunning = true;

    /**
     * Makes a duty whose thread is not started yet.
     *
     * @param name the name of the thread
     * @param ringCapacity how many tasks may wait, positive
     * @param timeSource the clock of the periodic tasks
     */
    public EventLoop(String name, int ringCapacity, TimeSource timeSource) {
        mName = Assert.hasText(name, "The name of a duty");
        Assert.positive(ringCapacity, "The capacity of a ring");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRing = new MpscBlockingConsumerArrayQueue<>(ringCapacity);
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Adds a task that runs again and again; must be called before {@link #start}.
     *
     * @param period the time from one run to the next
     * @param task the task
     */
    public void every(Duration period, Runnable task) {
        Assert.isTrue(!mThread.isAlive(), "The duty %s is started already.", mName);
        mPeriodicTasks.add(new PeriodicTask(period.toNanos(), task, mTimeSource.monotonicNanos()));
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Hands over a task.
     *
     * @param task the task
     * @return whether the ring had room; if not, the task will not run
     */
    public boolean offer(Runnable task) {
        boolean taken = mRunning && mRing.offer(task);
        if (!taken) {
            mRefused.increment();
        }
        return taken;
    }

    /**
     * Hands over a task that must not be lost, and waits for room if the ring is full. Must not be
     * called by the thread of a duty that this duty waits for. The duty's own thread, which alone
     * makes room, does not wait: it runs the task at once if the ring is full.
     *
     * @param task the task
     * @return whether the task was taken; false only after {@link #close}
     */
    public boolean put(Runnable task) {
        while (mRunning) {
            if (mRing.offer(task)) {
                return true;
            }
            if (isCurrentThread()) {
                runSafely(task);
                return true;
            }
            LockSupport.parkNanos(ROOM_WAIT_NANOS);
        }
        return false;
    }

    /**
     * Counts the tasks that found the ring full.
     *
     * @return the count since the start
     */
    public long refused() {
        return mRefused.sum();
    }

    /**
     * Counts the tasks that wait.
     *
     * @return the count
     */
    public int waiting() {
        return mRing.size();
    }

    /**
     * Tells whether the calling thread is the thread of this duty.
     *
     * @return whether it is
     */
    public boolean isCurrentThread() {
        return Thread.currentThread() == mThread;
    }

    /** Stops the thread after the tasks that wait now. */
    @Override
    public void close() {
        mRunning = false;
        if (isCurrentThread() || !mThread.isAlive()) {
            return;
        }
        try {
            mThread.join(STOP_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void run() {
        while (mRunning || !mRing.isEmpty()) {
            Runnable task = poll();
            if (task != null) {
                runSafely(task);
            }
            runPeriodicTasks();
        }
    }

    private Runnable poll() {
        try {
            return mRing.poll(nanosToNextTask(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            mRunning = false;
            return null;
        }
    }

    private long nanosToNextTask() {
        long now = mTimeSource.monotonicNanos();
        long wait = LONGEST_WAIT_NANOS;
        for (PeriodicTask task : mPeriodicTasks) {
            wait = Math.min(wait, task.mNextNanos - now);
        }
        return Math.max(0, wait);
    }

    private void runPeriodicTasks() {
        for (PeriodicTask task : mPeriodicTasks) {
            long now = mTimeSource.monotonicNanos();
            if (task.mNextNanos - now > 0) {
                continue;
            }
            task.mNextNanos = now + task.mPeriodNanos;
            runSafely(task.mTask);
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            sLogger.error("PROCESS  A task of the duty {} failed.", mName, e);
        }
    }

    /** A task with the time of its next run. */
    private static final class PeriodicTask {

        private final long mPeriodNanos;
        private final Runnable mTask;
        private long mNextNanos;

        PeriodicTask(long periodNanos, Runnable task, long firstNanos) {
            mPeriodNanos = periodNanos;
            mTask = task;
            mNextNanos = firstNanos;
        }
    }
}
