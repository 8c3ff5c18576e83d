package io.masticpond.daemon.configuration;

import io.masticpond.core.support.Assert;
import io.masticpond.daemon.eventloop.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Runs the steps of futures on a duty; a step that finds the ring full fails its future. */
final class EventLoopExecutor implements Executor {

    private static final Logger sLogger = LoggerFactory.getLogger(EventLoopExecutor.class);

    private final EventLoop mDuty;

    EventLoopExecutor(EventLoop duty) {
        mDuty = Assert.notNull(duty, "A duty");
    }

    @Override
    public void execute(Runnable task) {
        if (!mDuty.offer(task)) {
            throw new RejectedExecutionException("The ring of the duty is full.");
        }
    }

    /**
     * Runs a last step on the duty; if the ring is full it is dropped, so its owner must not wait
     * for it without a limit.
     */
    <T> void whenDone(CompletableFuture<T> future, Consumer<T> step) {
        var unused =
                future.thenAcceptAsync(step, this).exceptionally(EventLoopExecutor::logDropped);
    }

    private static Void logDropped(Throwable error) {
        sLogger.debug(
                "CONFIG  A step of the configuration's duty was dropped: {}", error.toString());
        return null;
    }
}
