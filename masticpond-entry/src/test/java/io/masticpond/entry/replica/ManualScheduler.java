package io.masticpond.entry.replica;

import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;

/** {@link Scheduler} that runs tasks when a manual clock reaches their time. */
public final class ManualScheduler implements Scheduler {

    private final ManualTimeSource mTime;
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::atNanos).thenComparingLong(Task::order));
    private long mOrder;

    ManualScheduler() {
        this(new ManualTimeSource(Instant.EPOCH));
    }

    /**
     * Creates a scheduler without tasks.
     *
     * @param time the clock, which others may advance as well
     */
    public ManualScheduler(ManualTimeSource time) {
        mTime = time;
    }

    ManualTimeSource time() {
        return mTime;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        Task entry = new Task(mTime.monotonicNanos() + delay.toNanos(), mOrder++, task);
        mTasks.add(entry);
        return () -> mTasks.remove(entry);
    }

    /**
     * Advances the clock and runs the tasks that fall due.
     *
     * @param duration the time by which the clock advances
     */
    public void pass(Duration duration) {
        long endNanos = mTime.monotonicNanos() + duration.toNanos();
        while (!mTasks.isEmpty() && mTasks.peek().atNanos() <= endNanos) {
            Task task = mTasks.poll();
            passUntil(task.atNanos());
            task.task().run();
        }
        passUntil(endNanos);
    }

    private void passUntil(long nanos) {
        long left = nanos - mTime.monotonicNanos();
        if (left > 0) {
            mTime.advance(Duration.ofNanos(left));
        }
    }

    private record Task(long atNanos, long order, Runnable task) {}
}
