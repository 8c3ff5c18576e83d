package io.masticpond.daemon.configuration;

import io.masticpond.core.support.Assert;
import io.masticpond.daemon.eventloop.EventLoop;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Executor that runs the continuations of futures on an event loop. If the queue of the event loop
 * is full, the future of the continuation completes exceptionally.
 */
final class EventLoopExecutor implements Executor {

    private static final Logger sLogger = LoggerFactory.getLogger(EventLoopExecutor.class);

    private final EventLoop mEventLoop;

    EventLoopExecutor(EventLoop eventLoop) {
        mEventLoop = Assert.notNull(eventLoop, "An event loop");
    }

    @Override
    public void execute(Runnable task) {
        if (!mEventLoop.offer(task)) {
            throw new RejectedExecutionException("The queue of the event loop is full.");
        }
    }

    /**
     * Runs a final continuation on the event loop. It is dropped if the queue is full, so the
     * caller must not wait for it without a time limit.
     */
    <T> void whenDone(CompletableFuture<T> future, Consumer<T> continuation) {
        var unused =
                future.thenAcceptAsync(continuation, this)
                        .exceptionally(EventLoopExecutor::logDropped);
    }

    private static Void logDropped(Throwable error) {
        sLogger.debug(
                "CONFIG  A task of the configuration's event loop was dropped: {}",
                error.toString());
        return null;
    }
}
