package io.masticpond.daemon.steering;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * Entry side for callers with a fallback to peers: a request that this instance cannot charge while
 * the platform is unavailable is steered and charged by another instance.
 *
 * <p>An instance that starts while the platform is unavailable has no allotment and cannot get one,
 * although the other instances still have theirs. The other instances are tried one after the
 * other, and the next one only if the previous one reports that the request did not run or the kind
 * of request may be repeated. The instance that accepts the request charges its own allotment and
 * never forwards the request to another peer. An instance that has no allotment either is not tried
 * again for one second, so that an outage that outlasts all allotments does not multiply the load.
 *
 * <p>Confined to the steering thread.
 *
 * @since 0.1
 */
public final class PeerFallbackEntry {

    private static final Set<RefusalCause> NO_ALLOTMENT_CAUSES =
            EnumSet.of(RefusalCause.PLATFORM_AWAY, RefusalCause.NOT_READY);
    private static final long EXHAUSTED_NANOS = Duration.ofSeconds(1).toNanos();

    private final EntrySteering mEntry;
    private final Executor mSteeringExecutor;
    private final TimeSource mTimeSource;
    private final ShardDirectory mDirectory;
    private final RemoteAdmitter mRemote;
    private final RetryBudget mRetryBudget;
    private final Map<RequestId, PeerSearch> mPeerSearches = new HashMap<>();

    /** Monotonic times in nanoseconds, the earliest first. */
    private final Map<AllotmentKey, Long> mExhaustedSince = new LinkedHashMap<>();

    /**
     * Creates an entry side.
     *
     * @param entry steers the requests that this instance can charge
     * @param steeringExecutor runs tasks on the steering thread and never drops one
     * @param timeSource the source of the current time
     * @param directory provides the other instances
     * @param remote forwards requests to other instances
     * @param retryBudget the retry budget, shared with the entry side
     */
    public PeerFallbackEntry(
            EntrySteering entry,
            Executor steeringExecutor,
            TimeSource timeSource,
            ShardDirectory directory,
            RemoteAdmitter remote,
            RetryBudget retryBudget) {
        mEntry = Assert.notNull(entry, "An entry side");
        mSteeringExecutor = Assert.notNull(steeringExecutor, "An executor");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mDirectory = Assert.notNull(directory, "A directory");
        mRemote = Assert.notNull(remote, "A forwarder");
        mRetryBudget = Assert.notNull(retryBudget, "A budget of retries");
    }

    /**
     * Steers a request until it completes.
     *
     * @param request the request; its id must not be in use
     * @param listener receives the completion, on the steering thread
     */
    public void submit(SteeredRequest request, Consumer<RequestCompletion> listener) {
        mEntry.submit(request, completion -> onOwnCompletion(request, completion, listener));
    }

    /**
     * Cancels a request because its caller has disconnected.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        PeerSearch search = mPeerSearches.get(request);
        if (search != null) {
            search.cancel();
            return;
        }
        mEntry.cancel(request);
    }

    private void onOwnCompletion(
            SteeredRequest request,
            RequestCompletion completion,
            Consumer<RequestCompletion> listener) {
        if (!hasNoAllotment(completion)) {
            listener.accept(completion);
            return;
        }
        PeerSearch search =
                new PeerSearch(request, (RequestCompletion.Refused) completion, listener);
        mPeerSearches.put(request.head().id(), search);
        search.tryNextInstance();
    }

    /**
     * Determines whether a request did not run because the instance has no allotment, or none yet.
     */
    private static boolean hasNoAllotment(RequestCompletion completion) {
        return completion instanceof RequestCompletion.Refused refused
                && refused.refusal().verdict() == Verdict.DID_NOT_RUN
                && NO_ALLOTMENT_CAUSES.contains(refused.refusal().cause());
    }

    /** Returns the number of allotments that are remembered as exhausted. */
    int exhaustedCount() {
        return mExhaustedSince.size();
    }

    private void recordExhausted(AllotmentKey key) {
        long now = mTimeSource.monotonicNanos();
        Iterator<Long> times = mExhaustedSince.values().iterator();
        while (times.hasNext() && now - times.next() >= EXHAUSTED_NANOS) {
            times.remove();
        }
        mExhaustedSince.remove(key);
        mExhaustedSince.put(key, now);
    }

    /** Key of the allotment of an instance for a service. */
    private record AllotmentKey(InstanceId instance, ServiceId service) {}

    /** Search for an instance that can charge one request. */
    private final class PeerSearch {

        private final SteeredRequest mRequest;
        private final RequestCompletion.Refused mOwnCompletion;
        private final Consumer<RequestCompletion> mListener;
        private final Queue<InstanceId> mCandidates = new ArrayDeque<>();
        private InstanceId mTarget;
        private boolean mMayHaveRun;
        private boolean mCancelled;

        PeerSearch(
                SteeredRequest request,
                RequestCompletion.Refused ownCompletion,
                Consumer<RequestCompletion> listener) {
            mRequest = request;
            mOwnCompletion = ownCompletion;
            mListener = listener;
            mDirectory.otherInstances(request.head().id()).stream()
                    .filter(each -> !isExhausted(allotmentKey(each)))
                    .forEach(mCandidates::add);
        }

        void tryNextInstance() {
            long remainingNanos = mRequest.head().deadlineNanos() - mTimeSource.monotonicNanos();
            if (mCancelled || mCandidates.isEmpty() || remainingNanos <= 0) {
                finish(mOwnCompletion);
                return;
            }
            InstanceId next = mCandidates.remove();
            mTarget = next;
            mRemote.steer(
                    next,
                    mRequest,
                    result -> mSteeringExecutor.execute(() -> onResult(next, result)));
        }

        void cancel() {
            mCancelled = true;
            mRemote.cancel(mTarget, mRequest.head().id());
        }

        private void onResult(InstanceId from, RemoteAdmitter.ForwardResult result) {
            if (result instanceof RemoteAdmitter.ForwardResult.Ended ended) {
                if (hasNoAllotment(ended.completion())) {
                    recordExhausted(allotmentKey(from));
                    tryNextInstance();
                    return;
                }
                finish(ended.completion());
            } else if (result instanceof RemoteAdmitter.ForwardResult.Lost lost) {
                onLost(lost);
            } else {
                tryNextInstance();
            }
        }

        private void onLost(RemoteAdmitter.ForwardResult.Lost lost) {
            mMayHaveRun = true;
            if (mRetryBudget.tryRetry(Verdict.MAY_HAVE_RUN, mRequest.head().kind())) {
                tryNextInstance();
                return;
            }
            finish(new RequestCompletion.Refused(Refusal.mayHaveRun(lost.cause(), lost.reason())));
        }

        private boolean isExhausted(AllotmentKey key) {
            Long since = mExhaustedSince.get(key);
            return since != null && mTimeSource.monotonicNanos() - since < EXHAUSTED_NANOS;
        }

        private AllotmentKey allotmentKey(InstanceId instance) {
            return new AllotmentKey(instance, mRequest.head().service());
        }

        private void finish(RequestCompletion completion) {
            mPeerSearches.remove(mRequest.head().id());
            mListener.accept(mMayHaveRun ? completion.asUncertain() : completion);
        }
    }
}
