package io.masticpond.daemon.steering;

import io.masticpond.core.admission.Admission;
import io.masticpond.core.admission.AdmissionSink;
import io.masticpond.core.admission.BackendServerSignal;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiFunction;
import java.util.function.Consumer;

/**
 * The admitter side of the request path: gives requests slots of backend servers.
 *
 * <p>Belongs to the steering duty; only the results of attempts come from other threads, and they
 * are handed to the duty.
 *
 * @since 0.1
 */
public final class AdmitterSteering {

    private final Executor mDuty;
    private final ShardDirectory mDirectory;
    private final BackendDispatcher mDispatcher;
    private final BiFunction<Shard, AdmissionSink, Admission> mAdmissions;
    private final Timeline mTimeline;
    private final Map<Shard, ShardAdmission> mShards = new LinkedHashMap<>();
    private final Map<RequestId, ShardAdmission> mRequests = new HashMap<>();

    /**
     * Makes an admitter side without shards.
     *
     * @param duty runs tasks on the steering duty, and loses none
     * @param directory tells which shards are admitted here
     * @param dispatcher sends requests to backend servers
     * @param admissions makes the admission of a shard
     * @param timeline takes events
     */
    public AdmitterSteering(
            Executor duty,
            ShardDirectory directory,
            BackendDispatcher dispatcher,
            BiFunction<Shard, AdmissionSink, Admission> admissions,
            Timeline timeline) {
        mDuty = duty;
        mDirectory = directory;
        mDispatcher = dispatcher;
        mAdmissions = admissions;
        mTimeline = timeline;
    }

    /**
     * Offers a request to a shard.
     *
     * @param shard the shard
     * @param request the request
     * @param listener takes the one end, on the steering duty
     */
    public void offer(Shard shard, SteeredRequest request, Consumer<RequestCompletion> listener) {
        if (!mDirectory.admitsHere(shard)) {
            refuse(listener, RefusalCause.NOT_READY, "Another instance admits to " + shard + ".");
            return;
        }
        if (mRequests.containsKey(request.head().id())) {
            refuse(listener, RefusalCause.BAD_REQUEST, "The request id is in use.");
            return;
        }
        ShardAdmission admission = mShards.computeIfAbsent(shard, ShardAdmission::new);
        mRequests.put(request.head().id(), admission);
        admission.offer(request, listener);
    }

    /**
     * Gives up a request, wherever it is; its listener is told.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        ShardAdmission admission = mRequests.get(request);
        if (admission != null) {
            admission.cancel(request);
        }
    }

    /**
     * Counts what is free, in flight and waiting in a shard.
     *
     * @param shard the shard
     * @return the counts, or empty if nothing was admitted here
     */
    public Optional<Headroom> headroom(Shard shard) {
        return Optional.ofNullable(mShards.get(shard)).map(each -> each.mAdmission.headroom());
    }

    /**
     * Counts for every shard that is admitted here.
     *
     * @return the counts by shard
     */
    public Map<Shard, Headroom> headrooms() {
        Map<Shard, Headroom> headrooms = new LinkedHashMap<>();
        mShards.forEach((shard, each) -> headrooms.put(shard, each.mAdmission.headroom()));
        return headrooms;
    }

    /**
     * Counts the requests that wait or are at backend servers.
     *
     * @return the count
     */
    public int inFlight() {
        return mRequests.size();
    }

    /**
     * Takes what a backend server says about itself.
     *
     * @param server the backend server
     * @param sign the sign
     */
    public void observe(BackendServerId server, BackendServerSignal sign) {
        for (ShardAdmission each : mShards.values()) {
            if (each.mServers.containsKey(server)) {
                each.mAdmission.observe(server, sign);
            }
        }
    }

    /**
     * Takes the directory as it is now; call it when configuration or membership changed.
     *
     * <p>A shard that is admitted elsewhere from now on loses its backend servers here: what waits
     * is refused as did not run, so that the new admitter may take it, and what is in flight ends.
     */
    public void reconfigure() {
        for (Shard shard : mDirectory.shardsHere()) {
            mShards.computeIfAbsent(shard, ShardAdmission::new).configure();
        }
        for (ShardAdmission each : List.copyOf(mShards.values())) {
            if (!mDirectory.admitsHere(each.mShard)) {
                each.giveUp();
            }
        }
        mShards.values()
                .removeIf(each -> each.mPending.isEmpty() && !mDirectory.admitsHere(each.mShard));
    }

    /** Lets time act on every shard. */
    public void advance() {
        mShards.values().forEach(each -> each.mAdmission.advance());
    }

    private static void refuse(
            Consumer<RequestCompletion> listener, RefusalCause cause, String detail) {
        listener.accept(new RequestCompletion.Refused(Refusal.didNotRun(cause, detail)));
    }

    /** A request that waits or is at a backend server. */
    private static final class PendingRequest {

        private final SteeredRequest mRequest;
        private final Consumer<RequestCompletion> mListener;
        private BackendDispatcher.Attempt mAttempt;

        PendingRequest(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mRequest = request;
            mListener = listener;
        }
    }

    /** The admission of one shard, with the requests that it holds. */
    private final class ShardAdmission implements AdmissionSink {

        private final Shard mShard;
        private final Admission mAdmission;
        private final Map<RequestId, PendingRequest> mPending = new HashMap<>();
        private final Map<BackendServerId, BackendServerSpecification> mServers = new HashMap<>();

        ShardAdmission(Shard shard) {
            mShard = shard;
            mAdmission = mAdmissions.apply(shard, this);
            configure();
        }

        void configure() {
            mServers.clear();
            for (BackendServerSpecification server : mDirectory.servers(mShard)) {
                mServers.put(server.id(), server);
            }
            mAdmission.configure(mDirectory.servers(mShard), mDirectory.share(mShard));
        }

        void giveUp() {
            mAdmission.configure(List.of(), mDirectory.share(mShard));
        }

        void offer(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mPending.put(request.head().id(), new PendingRequest(request, listener));
            mAdmission.offer(request.head());
        }

        void cancel(RequestId id) {
            if (mAdmission.cancel(id)) {
                end(id, refused(RefusalCause.CANCELLED, "The caller gave up while it waited."));
                return;
            }
            PendingRequest pending = mPending.get(id);
            if (pending != null && pending.mAttempt != null) {
                pending.mAttempt.cancel();
            }
        }

        @Override
        public void dispatch(RequestHead head, BackendServerId server) {
            PendingRequest pending = mPending.get(head.id());
            pending.mAttempt =
                    mDispatcher.dispatch(
                            pending.mRequest,
                            mServers.get(server),
                            result -> mDuty.execute(() -> complete(head.id(), server, result)));
        }

        @Override
        public void refuse(RequestHead head, Refusal refusal) {
            mTimeline.record(
                    TimelinePart.ADMIT,
                    "request-refused",
                    head.service().value(),
                    head.id().value(),
                    refusal.cause().text());
            end(head.id(), new RequestCompletion.Refused(refusal));
        }

        private void complete(
                RequestId id, BackendServerId server, BackendDispatcher.AttemptResult result) {
            if (result.leaving()) {
                mAdmission.observe(
                        server, BackendServerSignal.of(BackendServerSignal.Kind.LEAVING));
            }
            mAdmission.complete(id, result.outcome());
            end(id, result.completion());
        }

        private void end(RequestId id, RequestCompletion end) {
            PendingRequest pending = mPending.remove(id);
            mRequests.remove(id);
            if (pending != null) {
                pending.mListener.accept(end);
            }
        }

        private RequestCompletion refused(RefusalCause cause, String detail) {
            return new RequestCompletion.Refused(Refusal.didNotRun(cause, detail));
        }
    }
}
