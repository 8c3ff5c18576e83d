package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Admission;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.admission.SlotShare;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.daemon.metrics.RequestMetrics;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Decorator of an {@link Admission} that measures how long dispatched requests waited for a slot.
 *
 * <p>Confined to the steering thread. Requests that are refused or cancelled are not measured.
 *
 * @since 0.2
 */
public final class MeteredAdmission implements Admission {

    private final Map<RequestId, Long> mOfferedNanos = new HashMap<>();
    private final RequestMetrics mMetrics;
    private final TimeSource mTimeSource;
    private final Admission mDelegate;

    /**
     * Creates the decorator around the admission that a factory creates.
     *
     * @param factory creates the admission, which must report its decisions to the given sink
     * @param sink carries out the decisions
     * @param metrics records the waiting times
     * @param timeSource the source of the current time
     */
    public MeteredAdmission(
            Function<AdmissionSink, Admission> factory,
            AdmissionSink sink,
            RequestMetrics metrics,
            TimeSource timeSource) {
        mMetrics = Assert.notNull(metrics, "Metrics");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mDelegate = factory.apply(new MeteredSink(Assert.notNull(sink, "A sink")));
    }

    @Override
    public void configure(List<BackendServerSpecification> servers, SlotShare share) {
        mDelegate.configure(servers, share);
    }

    @Override
    public void offer(RequestHead request) {
        mOfferedNanos.put(request.id(), mTimeSource.monotonicNanos());
        mDelegate.offer(request);
    }

    @Override
    public boolean cancel(RequestId request) {
        boolean wasWaiting = mDelegate.cancel(request);
        if (wasWaiting) {
            mOfferedNanos.remove(request);
        }
        return wasWaiting;
    }

    @Override
    public void complete(RequestId request, AttemptOutcome outcome) {
        mDelegate.complete(request, outcome);
    }

    @Override
    public void observe(BackendServerId server, BackendServerSignal signal) {
        mDelegate.observe(server, signal);
    }

    @Override
    public void advance() {
        mDelegate.advance();
    }

    @Override
    public Headroom headroom() {
        return mDelegate.headroom();
    }

    /** Sink that observes each decision before it is passed on to be carried out. */
    private final class MeteredSink implements AdmissionSink {

        private final AdmissionSink mSink;

        MeteredSink(AdmissionSink sink) {
            mSink = sink;
        }

        @Override
        public void dispatch(RequestHead request, BackendServerId server) {
            Long offeredNanos = mOfferedNanos.remove(request.id());
            if (offeredNanos != null) {
                mMetrics.recordQueueWait(
                        request.service(), mTimeSource.monotonicNanos() - offeredNanos);
            }
            mSink.dispatch(request, server);
        }

        @Override
        public void refuse(RequestHead request, Refusal refusal) {
            mOfferedNanos.remove(request.id());
            mSink.refuse(request, refusal);
        }
    }
}
