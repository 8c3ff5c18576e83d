package io.masticpond.daemon.gateway;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.lookup.LookupDecision;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.caller.CallerService;
import io.masticpond.daemon.metrics.RequestMetrics;
import io.masticpond.daemon.steering.RequestCompletion;
import io.masticpond.daemon.steering.SteeredRequest;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Decorator of a {@link CallerService} that records metrics of its look-ups and requests without
 * changing them.
 *
 * @since 0.1
 */
public final class MeteredCallerService implements CallerService {

    private final CallerService mDelegate;
    private final RequestMetrics mMetrics;
    private final TimeSource mTimeSource;

    /**
     * Creates the service.
     *
     * @param delegate the service that calls are passed to
     * @param metrics the metrics that are recorded
     * @param timeSource the clocks
     */
    public MeteredCallerService(
            CallerService delegate, RequestMetrics metrics, TimeSource timeSource) {
        mDelegate = Assert.notNull(delegate, "A caller service");
        mMetrics = Assert.notNull(metrics, "Metrics");
        mTimeSource = Assert.notNull(timeSource, "A time source");
    }

    @Override
    public Configuration configuration() {
        return mDelegate.configuration();
    }

    @Override
    public Optional<String> unreadyReason() {
        return mDelegate.unreadyReason();
    }

    @Override
    public LookupDecision lookup(ServiceId service, String clientAddress, long seenVersion) {
        LookupDecision decision = mDelegate.lookup(service, clientAddress, seenVersion);
        mMetrics.recordLookup(service);
        return decision;
    }

    @Override
    public Optional<String> operationKey(ServiceId service) {
        return mDelegate.operationKey(service);
    }

    @Override
    public void submit(
            SteeredRequest request, OperationKeys keys, Consumer<RequestCompletion> listener) {
        ServiceId service = request.head().service();
        long startNanos = mTimeSource.monotonicNanos();
        mDelegate.submit(
                request,
                keys,
                completion -> {
                    recordCompletion(service, startNanos, completion);
                    listener.accept(completion);
                });
    }

    @Override
    public void cancel(RequestId request) {
        mDelegate.cancel(request);
    }

    private void recordCompletion(
            ServiceId service, long startNanos, RequestCompletion completion) {
        if (completion instanceof RequestCompletion.Refused refused) {
            mMetrics.recordRefusal(service, refused.refusal());
        } else {
            mMetrics.recordAnswer(service, mTimeSource.monotonicNanos() - startNanos);
        }
    }
}
