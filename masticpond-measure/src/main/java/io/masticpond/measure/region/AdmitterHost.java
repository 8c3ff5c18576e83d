package io.masticpond.measure.region;

import io.masticpond.core.admission.Admission;
import io.masticpond.core.admission.AdmissionSettings;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.AttemptOutcome;
import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.DefaultAdmission;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.steering.DefaultShardDirectory;
import io.masticpond.measure.support.Deployment;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Host of the real admission of a shard at one instance, and of the requests offered to it. */
final class AdmitterHost implements AdmissionSink {

    private final RegionSimulation mSimulation;
    private final ZoneId mZone;
    private final Shard mShard;
    private final Admission mAdmission;
    private final Map<RequestId, HeldRequest> mRequests = new HashMap<>();
    private boolean mRunning = true;

    AdmitterHost(RegionSimulation simulation, ZoneId zone, Shard shard) {
        mSimulation = simulation;
        mZone = zone;
        mShard = shard;
        mAdmission =
                new DefaultAdmission(
                        shard,
                        AdmissionSettings.DEFAULT.withWideningPeriod(
                                Duration.ofMillis(Deployment.DEADLINE_MILLIS)),
                        simulation.events().timeSource(),
                        this,
                        Timeline.NONE);
    }

    void configure(DefaultShardDirectory directory) {
        mAdmission.configure(directory.servers(mShard), directory.share(mShard));
    }

    Headroom headroom() {
        return mAdmission.headroom();
    }

    void advance() {
        mAdmission.advance();
    }

    void observe(BackendServerId server, BackendServerSignal signal) {
        mAdmission.observe(server, signal);
    }

    boolean isIdle() {
        return mRequests.isEmpty();
    }

    void offer(EntryRequest request, AttemptListener listener) {
        mRequests.put(request.head().id(), new HeldRequest(request, listener));
        mAdmission.offer(request.head());
    }

    /** Terminates together with the instance; backend servers continue their requests. */
    void terminate() {
        mRunning = false;
        List<HeldRequest> heldRequests = new ArrayList<>(mRequests.values());
        mRequests.clear();
        heldRequests.forEach(each -> each.listener().lost());
    }

    @Override
    public void refuse(RequestHead request, Refusal refusal) {
        HeldRequest heldRequest = mRequests.remove(request.id());
        if (heldRequest != null) {
            heldRequest.listener().refused(headroomOrNone());
        }
    }

    /** Returns the headroom, or none for a refusal during the construction of the admission. */
    private Headroom headroomOrNone() {
        return mAdmission == null ? Headroom.NONE : mAdmission.headroom();
    }

    @Override
    public void dispatch(RequestHead request, BackendServerId id) {
        HeldRequest heldRequest = mRequests.get(request.id());
        FakeServer server = mSimulation.server(id);
        ZoneId serverZone = server.specification().zone();
        mSimulation
                .network()
                .send(
                        mZone,
                        serverZone,
                        () -> arrived(heldRequest.request(), server),
                        () -> complete(request.id(), AttemptOutcome.BROKEN));
    }

    private void arrived(EntryRequest request, FakeServer server) {
        ZoneId serverZone = server.specification().zone();
        RequestId id = request.head().id();
        if (!server.isRunning()) {
            answer(serverZone, id, AttemptOutcome.UNREACHABLE);
            return;
        }
        server.start(
                request.origin(),
                request.workNanos(),
                request.head().deadlineNanos(),
                end ->
                        answer(
                                serverZone,
                                id,
                                switch (end) {
                                    case DONE -> AttemptOutcome.ANSWERED;
                                    case TOO_LATE -> AttemptOutcome.TIMED_OUT;
                                    case DIED -> AttemptOutcome.BROKEN;
                                }));
    }

    private void answer(ZoneId from, RequestId id, AttemptOutcome outcome) {
        mSimulation
                .network()
                .send(
                        from,
                        mZone,
                        () -> complete(id, outcome),
                        () -> complete(id, AttemptOutcome.BROKEN));
    }

    private void complete(RequestId id, AttemptOutcome outcome) {
        HeldRequest heldRequest = mRunning ? mRequests.remove(id) : null;
        if (heldRequest == null) {
            return;
        }
        mAdmission.complete(id, outcome);
        if (outcome == AttemptOutcome.ANSWERED) {
            heldRequest.listener().answered(mAdmission.headroom());
        } else if (outcome == AttemptOutcome.UNREACHABLE) {
            heldRequest.listener().refused(mAdmission.headroom());
        } else {
            heldRequest.listener().lost();
        }
    }

    /** Callback interface for the end of an attempt, called at the admitter. */
    interface AttemptListener {
        void answered(Headroom headroom);

        void refused(Headroom headroom);

        void lost();
    }

    private record HeldRequest(EntryRequest request, AttemptListener listener) {}
}
