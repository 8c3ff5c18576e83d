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
 * Measures how long the requests that an admission dispatches have waited for their slot.
 *
 * <p>Belongs to the steering duty. Requests that are refused or cancelled are not measured.
 *
 * @since 0.2
 */
public final class MeteredAdmission implements Admission {

    private final Map<RequestId, Long> mOfferedNanos = new HashMap<>();
    private final RequestMetrics mMetrics;
    private final TimeSource mTimeSource;
    private final Admission mDelegate;

    /**
     * Wraps the admission that a factory makes.
     *
     * @param factory makes the admission, which must tell the sink that it is given
     * @param sink carries out what is decided
     * @param metrics takes the waits
     * @param timeSource the clocks
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
        boolean waited = mDelegate.cancel(request);
        if (waited) {
            mOfferedNanos.remove(request);
        }
        return waited;
    }

    @Override
    public void complete(RequestId request, AttemptOutcome outcome) {
        mDelegate.complete(request, outcome);
    }

    @Override
    public void observe(BackendServerId server, BackendServerSignal sign) {
        mDelegate.observe(server, sign);
    }

    @Override
    public void advance() {
        mDelegate.advance();
    }

    @Override
    public Headroom headroom() {
        return mDelegate.headroom();
    }

    /** Takes each decision before it is carried out. */
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
