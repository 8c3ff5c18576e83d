package io.masticpond.measure.operation;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/**
 * Fixed pool of threads that runs tasks at once or after a delay. Tasks that are due after {@link
 * #close} are dropped.
 */
final class TaskScheduler implements AutoCloseable {

    private final ExecutorService mExecutor;
    private volatile boolean mOpen = true;

    TaskScheduler(int threads) {
        mExecutor = Executors.newFixedThreadPool(threads);
    }

    void execute(Runnable task) {
        if (mOpen) {
            mExecutor.execute(task);
        }
    }

    void afterMicros(long micros, Runnable task) {
        CompletableFuture.delayedExecutor(micros, TimeUnit.MICROSECONDS, this::execute)
                .execute(task);
    }

    void afterMillis(long millis, Runnable task) {
        afterMicros(TimeUnit.MILLISECONDS.toMicros(millis), task);
    }

    /** Runs a task periodically until this scheduler is closed. */
    void everyMillis(long millis, Runnable task) {
        afterMillis(
                millis,
                () -> {
                    everyMillis(millis, task);
                    task.run();
                });
    }

    @Override
    public void close() {
        mOpen = false;
        mExecutor.shutdown();
    }

    boolean awaitTermination(long seconds) throws InterruptedException {
        return mExecutor.awaitTermination(seconds, TimeUnit.SECONDS);
    }
}
