package io.masticpond.entry.replica;

import java.time.Duration;

/**
 * Strategy interface for running delayed tasks on the calling thread.
 *
 * @since 0.2
 */
public interface Scheduler {

    /**
     * Schedules a task to run once.
     *
     * @param delay the minimum time until it runs; zero to run as soon as the thread is free
     * @param task the task
     * @return cancels the task when run; has no effect if the task has already run
     */
    Runnable schedule(Duration delay, Runnable task);
}
