package io.masticpond.daemon.eventloop;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import java.util.concurrent.locks.LockSupport;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Event loop: a single named thread that runs tasks from a bounded queue, and periodic tasks
 * between them.
 *
 * <p>State that is confined to an event loop is accessed by its thread only and needs no locks.
 * When the queue is full, {@link #offer} returns {@code false} without blocking, and the caller
 * must refuse or drop the work. A task that throws is logged, and the event loop continues with the
 * next one.
 *
 * @since 0.1
 */
public final class EventLoop implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(EventLoop.class);
    private static final long STOP_TIMEOUT_MILLIS = 5_000;
    private static final long MAXIMUM_POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final long FULL_QUEUE_RETRY_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

    private final String mName;
    private final TimeSource mTimeSource;
    private final MpscBlockingConsumerArrayQueue<Runnable> mQueue;
    private final List<PeriodicTask> mPeriodicTasks = new ArrayList<>();
    private final LongAdder mRejected = new LongAdder();

    /**
     * Number of threads that are queuing a task. The thread ends only after it has read 0 here
     * while {@link #mRunning} is false, so that it runs every task that was accepted.
     */
    private final AtomicInteger mProducers = new AtomicInteger();

    private final Thread mThread;
    private volatile boolean mRunning = true;

    /**
     * Creates an event loop whose thread is not started yet.
     *
     * @param name the name of the thread
     * @param queueCapacity the maximum number of queued tasks, positive
     * @param timeSource the clock for the periodic tasks
     */
    public EventLoop(String name, int queueCapacity, TimeSource timeSource) {
        mName = Assert.hasText(name, "The name of an event loop");
        Assert.positive(queueCapacity, "The capacity of a queue");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mQueue = new MpscBlockingConsumerArrayQueue<>(queueCapacity);
        mThread = new Thread(this::run, name);
        mThread.setDaemon(true);
    }

    /**
     * Adds a periodic task, which first runs as soon as the thread starts. Must be called before
     * {@link #start}.
     *
     * @param period the minimum time from the start of one run to that of the next
     * @param task the task
     */
    public void schedulePeriodically(Duration period, Runnable task) {
        Assert.isTrue(!mThread.isAlive(), "The event loop %s has already been started.", mName);
        mPeriodicTasks.add(new PeriodicTask(period.toNanos(), task, mTimeSource.monotonicNanos()));
    }

    /** Starts the thread. */
    public void start() {
        mThread.start();
    }

    /**
     * Queues a task without blocking.
     *
     * @param task the task
     * @return {@code true} if the task was queued; {@code false} if the queue is full or the event
     *     loop is closed, in which case the task will not run
     */
    public boolean offer(Runnable task) {
        boolean queued = tryQueue(task);
        if (!queued) {
            mRejected.increment();
        }
        return queued;
    }

    /**
     * Queues a task that must not be lost, and blocks while the queue is full. Must not be called
     * from the thread of another event loop that this one waits for, since the two could block each
     * other for good. The own thread, which is the only consumer of the queue, never blocks: if the
     * queue is full, it runs the task immediately.
     *
     * @param task the task
     * @return {@code true} if the task was queued or run; {@code false} only after {@link #close}
     */
    public boolean put(Runnable task) {
        while (mRunning) {
            if (tryQueue(task)) {
                return true;
            }
            if (mRunning && isCurrentThread()) {
                runSafely(task);
                return true;
            }
            LockSupport.parkNanos(FULL_QUEUE_RETRY_NANOS);
        }
        return false;
    }

    /**
     * Returns the number of tasks that {@link #offer} rejected because the queue was full or the
     * event loop was closed.
     *
     * @return the count since the start
     */
    public long rejectedCount() {
        return mRejected.sum();
    }

    /**
     * Returns the number of queued tasks.
     *
     * @return the count
     */
    public int queuedCount() {
        return mQueue.size();
    }

    /**
     * Determines whether the calling thread is the thread of this event loop.
     *
     * @return {@code true} on the event loop's own thread
     */
    public boolean isCurrentThread() {
        return Thread.currentThread() == mThread;
    }

    /**
     * Rejects further tasks and stops the thread once it has run the queued ones. Waits up to 5
     * seconds for the thread to end, unless this is called from the thread itself.
     */
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

    private boolean tryQueue(Runnable task) {
        mProducers.incrementAndGet();
        try {
            return mRunning && mQueue.offer(task);
        } finally {
            mProducers.decrementAndGet();
        }
    }

    private void run() {
        while (mRunning || mProducers.get() > 0 || !mQueue.isEmpty()) {
            Runnable task = poll();
            if (task != null) {
                runSafely(task);
            }
            runPeriodicTasks();
        }
    }

    private Runnable poll() {
        try {
            return mQueue.poll(nanosToNextTask(), TimeUnit.NANOSECONDS);
        } catch (InterruptedException e) {
            mRunning = false;
            return null;
        }
    }

    private long nanosToNextTask() {
        long now = mTimeSource.monotonicNanos();
        long wait = MAXIMUM_POLL_NANOS;
        for (PeriodicTask task : mPeriodicTasks) {
            wait = Math.min(wait, task.mNextRunNanos - now);
        }
        return Math.max(0, wait);
    }

    private void runPeriodicTasks() {
        for (PeriodicTask task : mPeriodicTasks) {
            long now = mTimeSource.monotonicNanos();
            if (task.mNextRunNanos - now > 0) {
                continue;
            }
            task.mNextRunNanos = now + task.mPeriodNanos;
            runSafely(task.mTask);
        }
    }

    private void runSafely(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            sLogger.error("PROCESS  A task of the event loop {} failed.", mName, e);
        }
    }

    /** A periodic task with the time of its next run. */
    private static final class PeriodicTask {

        private final long mPeriodNanos;
        private final Runnable mTask;
        private long mNextRunNanos;

        PeriodicTask(long periodNanos, Runnable task, long firstRunNanos) {
            mPeriodNanos = periodNanos;
            mTask = task;
            mNextRunNanos = firstRunNanos;
        }
    }
}
