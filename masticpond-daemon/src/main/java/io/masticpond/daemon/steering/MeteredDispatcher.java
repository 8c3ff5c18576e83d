package io.masticpond.daemon.steering;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.metrics.RequestMetrics;
import java.util.function.Consumer;

/**
 * Decorator of a {@link BackendDispatcher} that measures how long backend servers take to answer.
 *
 * <p>Attempts that end without an answer are not measured. Thread-safe if the decorated dispatcher
 * is.
 *
 * @since 0.2
 */
public final class MeteredDispatcher implements BackendDispatcher {

    private final BackendDispatcher mDelegate;
    private final RequestMetrics mMetrics;
    private final TimeSource mTimeSource;

    /**
     * Creates the decorator around a dispatcher.
     *
     * @param delegate sends the requests
     * @param metrics records the answer times
     * @param timeSource the source of the current time
     */
    public MeteredDispatcher(
            BackendDispatcher delegate, RequestMetrics metrics, TimeSource timeSource) {
        mDelegate = Assert.notNull(delegate, "A dispatcher");
        mMetrics = Assert.notNull(metrics, "Metrics");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public Attempt dispatch(
            SteeredRequest request,
            BackendServerSpecification server,
            Consumer<AttemptResult> listener) {
        long startNanos = mTimeSource.monotonicNanos();
        return mDelegate.dispatch(
                request,
                server,
                result -> {
                    if (result.completion() instanceof RequestCompletion.Answered) {
                        mMetrics.recordAttemptAnswer(
                                request.head().service(),
                                mTimeSource.monotonicNanos() - startNanos);
                    }
                    listener.accept(result);
                });
    }
}
