package io.masticpond.entry.lifecycle;

import java.time.Duration;

/**
 * Strategy interface for running work after a delay, on one thread.
 *
 * @since 0.2
 */
@FunctionalInterface
public interface DelayedRunner {

    /**
     * Runs the given work once.
     *
     * @param delay the delay before the work is run
     * @param work the work
     */
    void after(Duration delay, Runnable work);
}
