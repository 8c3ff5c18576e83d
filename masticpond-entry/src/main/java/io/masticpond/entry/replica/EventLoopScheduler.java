package io.masticpond.entry.replica;

import io.masticpond.core.support.Assert;
import io.netty.channel.EventLoop;
import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * {@link Scheduler} that runs tasks on an event loop.
 *
 * @since 0.2
 */
public final class EventLoopScheduler implements Scheduler {

    private final EventLoop mLoop;

    /**
     * Creates a scheduler.
     *
     * @param loop the loop that runs the tasks
     */
    public EventLoopScheduler(EventLoop loop) {
        mLoop = Assert.notNull(loop, "An event loop");
    }

    @Override
    public Runnable schedule(Duration delay, Runnable task) {
        Future<?> future = mLoop.schedule(task, delay.toNanos(), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }
}
