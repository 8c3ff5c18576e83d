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
 * Admitter side of the request path, which assigns slots of backend servers to requests.
 *
 * <p>Confined to the steering thread. Results of attempts arrive on other threads and are passed to
 * the steering thread.
 *
 * @since 0.1
 */
public final class AdmitterSteering {

    private final Executor mSteeringExecutor;
    private final ShardDirectory mDirectory;
    private final BackendDispatcher mDispatcher;
    private final BiFunction<Shard, AdmissionSink, Admission> mAdmissionFactory;
    private final Timeline mTimeline;
    private final Map<Shard, ShardAdmission> mShards = new LinkedHashMap<>();
    private final Map<RequestId, ShardAdmission> mRequests = new HashMap<>();

    /**
     * Creates an admitter side without shards.
     *
     * @param steeringExecutor runs tasks on the steering thread and never drops one
     * @param directory provides the shards that this instance admits to
     * @param dispatcher sends requests to backend servers
     * @param admissionFactory creates the admission of a shard
     * @param timeline records events
     */
    public AdmitterSteering(
            Executor steeringExecutor,
            ShardDirectory directory,
            BackendDispatcher dispatcher,
            BiFunction<Shard, AdmissionSink, Admission> admissionFactory,
            Timeline timeline) {
        mSteeringExecutor = steeringExecutor;
        mDirectory = directory;
        mDispatcher = dispatcher;
        mAdmissionFactory = admissionFactory;
        mTimeline = timeline;
    }

    /**
     * Offers a request to a shard.
     *
     * @param shard the shard
     * @param request the request
     * @param listener receives the completion, on the steering thread
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
     * Cancels a request, whether it waits or is in flight; its listener is notified.
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
     * Returns the headroom of a shard: its free slots and its requests in flight and waiting.
     *
     * @param shard the shard
     * @return the headroom, or empty if this instance holds no admission for the shard
     */
    public Optional<Headroom> headroom(Shard shard) {
        return Optional.ofNullable(mShards.get(shard)).map(each -> each.mAdmission.headroom());
    }

    /**
     * Returns the headroom of every shard for which this instance holds an admission.
     *
     * @return the headroom by shard
     */
    public Map<Shard, Headroom> headrooms() {
        Map<Shard, Headroom> headrooms = new LinkedHashMap<>();
        mShards.forEach((shard, each) -> headrooms.put(shard, each.mAdmission.headroom()));
        return headrooms;
    }

    /**
     * Returns the number of requests that wait or are in flight at backend servers.
     *
     * @return the count
     */
    public int inFlight() {
        return mRequests.size();
    }

    /**
     * Applies a signal of a backend server to every shard that contains the server.
     *
     * @param server the backend server
     * @param signal the signal
     */
    public void observe(BackendServerId server, BackendServerSignal signal) {
        for (ShardAdmission each : mShards.values()) {
            if (each.mServers.containsKey(server)) {
                each.mAdmission.observe(server, signal);
            }
        }
    }

    /**
     * Applies the current state of the directory. Must be called after a change of the
     * configuration or the membership.
     *
     * <p>A shard that another instance admits to from now on loses its backend servers here:
     * waiting requests are refused as not run, so that the new admitter can take them, and requests
     * in flight are allowed to finish.
     */
    public void reconfigure() {
        for (Shard shard : mDirectory.shardsHere()) {
            mShards.computeIfAbsent(shard, ShardAdmission::new).configure();
        }
        for (ShardAdmission each : List.copyOf(mShards.values())) {
            if (!mDirectory.admitsHere(each.mShard)) {
                each.removeServers();
            }
        }
        mShards.values()
                .removeIf(each -> each.mPending.isEmpty() && !mDirectory.admitsHere(each.mShard));
    }

    /** Advances every shard to the current time, see {@link Admission#advance}. */
    public void advance() {
        mShards.values().forEach(each -> each.mAdmission.advance());
    }

    private static void refuse(
            Consumer<RequestCompletion> listener, RefusalCause cause, String detail) {
        listener.accept(new RequestCompletion.Refused(Refusal.didNotRun(cause, detail)));
    }

    /** Request that waits or is in flight at a backend server. */
    private static final class PendingRequest {

        private final SteeredRequest mRequest;
        private final Consumer<RequestCompletion> mListener;
        private BackendDispatcher.Attempt mAttempt;

        PendingRequest(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mRequest = request;
            mListener = listener;
        }
    }

    /** Admission of one shard with its pending requests. */
    private final class ShardAdmission implements AdmissionSink {

        private final Shard mShard;
        private final Admission mAdmission;
        private final Map<RequestId, PendingRequest> mPending = new HashMap<>();
        private final Map<BackendServerId, BackendServerSpecification> mServers = new HashMap<>();

        ShardAdmission(Shard shard) {
            mShard = shard;
            mAdmission = mAdmissionFactory.apply(shard, this);
            configure();
        }

        void configure() {
            mServers.clear();
            for (BackendServerSpecification server : mDirectory.servers(mShard)) {
                mServers.put(server.id(), server);
            }
            mAdmission.configure(mDirectory.servers(mShard), mDirectory.share(mShard));
        }

        void removeServers() {
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
                            result ->
                                    mSteeringExecutor.execute(
                                            () -> complete(head.id(), server, result)));
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

        private void end(RequestId id, RequestCompletion completion) {
            PendingRequest pending = mPending.remove(id);
            mRequests.remove(id);
            if (pending != null) {
                pending.mListener.accept(completion);
            }
        }

        private RequestCompletion refused(RefusalCause cause, String detail) {
            return new RequestCompletion.Refused(Refusal.didNotRun(cause, detail));
        }
    }
}
