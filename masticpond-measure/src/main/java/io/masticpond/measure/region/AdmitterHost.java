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

/** The real admission of a shard at one instance, with its requests. */
final class AdmitterHost implements AdmissionSink {

    private final RegionSimulation mWorld;
    private final ZoneId mZone;
    private final Shard mShard;
    private final Admission mAdmission;
    private final Map<RequestId, HeldRequest> mRequests = new HashMap<>();
    private boolean mAlive = true;

    AdmitterHost(RegionSimulation world, ZoneId zone, Shard shard) {
        mWorld = world;
        mZone = zone;
        mShard = shard;
        mAdmission =
                new DefaultAdmission(
                        shard,
                        AdmissionSettings.DEFAULT.withWideningPeriod(
                                Duration.ofMillis(Deployment.DEADLINE_MILLIS)),
                        world.events().timeSource(),
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

    void observe(BackendServerId server, BackendServerSignal sign) {
        mAdmission.observe(server, sign);
    }

    boolean isIdle() {
        return mRequests.isEmpty();
    }

    void offer(EntryRequest request, AttemptListener listener) {
        mRequests.put(request.head().id(), new HeldRequest(request, listener));
        mAdmission.offer(request.head());
    }

    /** Dies with its instance; servers go on with what they have. */
    void terminate() {
        mAlive = false;
        List<HeldRequest> held = new ArrayList<>(mRequests.values());
        mRequests.clear();
        held.forEach(each -> each.listener().lost());
    }

    @Override
    public void refuse(RequestHead request, Refusal refusal) {
        HeldRequest held = mRequests.remove(request.id());
        if (held != null) {
            held.listener().refused(headroomOrNone());
        }
    }

    /** Gives the counts; a refusal may come before the admission has any. */
    private Headroom headroomOrNone() {
        return mAdmission == null ? Headroom.NONE : mAdmission.headroom();
    }

    @Override
    public void dispatch(RequestHead request, BackendServerId id) {
        HeldRequest held = mRequests.get(request.id());
        FakeServer server = mWorld.server(id);
        ZoneId serverZone = server.specification().zone();
        mWorld.network()
                .send(
                        mZone,
                        serverZone,
                        () -> arrived(held.request(), server),
                        () -> complete(request.id(), AttemptOutcome.BROKEN));
    }

    private void arrived(EntryRequest request, FakeServer server) {
        ZoneId serverZone = server.specification().zone();
        RequestId id = request.head().id();
        if (!server.isAlive()) {
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
                                    case SERVER_TERMINATED -> AttemptOutcome.BROKEN;
                                }));
    }

    private void answer(ZoneId from, RequestId id, AttemptOutcome outcome) {
        mWorld.network()
                .send(
                        from,
                        mZone,
                        () -> complete(id, outcome),
                        () -> complete(id, AttemptOutcome.BROKEN));
    }

    private void complete(RequestId id, AttemptOutcome outcome) {
        HeldRequest held = mAlive ? mRequests.remove(id) : null;
        if (held == null) {
            return;
        }
        mAdmission.complete(id, outcome);
        if (outcome == AttemptOutcome.ANSWERED) {
            held.listener().answered(mAdmission.headroom());
        } else if (outcome == AttemptOutcome.UNREACHABLE) {
            held.listener().refused(mAdmission.headroom());
        } else {
            held.listener().lost();
        }
    }

    /** Takes the end of an attempt, at the admitter. */
    interface AttemptListener {
        void answered(Headroom headroom);

        void refused(Headroom headroom);

        void lost();
    }

    private record HeldRequest(EntryRequest request, AttemptListener listener) {}
}
