package io.masticpond.entry.spending;

import io.masticpond.core.time.ManualTimeSource;
import io.masticpond.entry.replica.Scheduler;
import java.time.Duration;
import java.util.Comparator;
import java.util.PriorityQueue;

/** Runs tasks in the order in which they fall due, while time is moved by hand. */
final class ManualLoop implements Scheduler {

    private final ManualTimeSource mTime;
    private final PriorityQueue<Task> mTasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(Task::dueNanos).thenComparingLong(Task::number));
    private long mNumber;

    ManualLoop(ManualTimeSource time) {
        mTime = time;
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        Task later = new Task(mTime.monotonicNanos() + delay.toNanos(), mNumber++, task);
        mTasks.add(later);
        return () -> mTasks.remove(later);
    }

    /** Moves time, and runs on the way what falls due. */
    void advance(Duration duration) {
        long end = mTime.monotonicNanos() + duration.toNanos();
        while (!mTasks.isEmpty() && mTasks.peek().dueNanos() <= end) {
            Task next = mTasks.poll();
            passUntil(next.dueNanos());
            next.work().run();
        }
        passUntil(end);
    }

    private void passUntil(long nanos) {
        long left = nanos - mTime.monotonicNanos();
        if (left > 0) {
            mTime.advance(Duration.ofNanos(left));
        }
    }

    private record Task(long dueNanos, long number, Runnable work) {}
}
