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
import java.util.Map;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/**
 * The entry side for callers: what this instance cannot pay for while the platform is away, another
 * instance steers and pays for.
 *
 * <p>An instance that starts while the platform is away has no allotment and gets none, though the
 * others still have theirs. A request is asked of one other instance after the other, and only
 * while the one before says that it did not run, or the kind of request may be repeated; the one
 * that takes it charges its own allotment and never passes it on. An instance that cannot pay
 * either is not asked again for a second, so that an outage that outlasts all allotments does not
 * multiply the load.
 *
 * <p>Belongs to the steering duty.
 *
 * @since 0.1
 */
public final class PeerFallbackEntry {

    private static final Set<RefusalCause> NO_ALLOTMENT =
            EnumSet.of(RefusalCause.PLATFORM_AWAY, RefusalCause.NOT_READY);
    private static final long FORGET_NANOS = Duration.ofSeconds(1).toNanos();

    private final EntrySteering mEntry;
    private final Executor mDuty;
    private final TimeSource mTimeSource;
    private final ShardDirectory mDirectory;
    private final RemoteAdmitter mRemote;
    private final RetryBudget mRetries;
    private final Map<RequestId, Search> mSearches = new HashMap<>();
    private final Map<AllotmentKey, Long> mEmptySince = new HashMap<>();

    /**
     * Makes an entry side.
     *
     * @param entry steers what this instance can pay for
     * @param duty runs tasks on the steering duty, and loses none
     * @param timeSource the clocks
     * @param directory tells who else takes work
     * @param remote passes requests on
     * @param retries the budget of retries, which the entry side shares
     */
    public PeerFallbackEntry(
            EntrySteering entry,
            Executor duty,
            TimeSource timeSource,
            ShardDirectory directory,
            RemoteAdmitter remote,
            RetryBudget retries) {
        mEntry = Assert.notNull(entry, "An entry side");
        mDuty = Assert.notNull(duty, "An executor");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mDirectory = Assert.notNull(directory, "A directory");
        mRemote = Assert.notNull(remote, "A forwarder");
        mRetries = Assert.notNull(retries, "A budget of retries");
    }

    /**
     * Steers a request to its end.
     *
     * @param request the request; its id must not be in use
     * @param listener takes the one end, on the steering duty
     */
    public void submit(SteeredRequest request, Consumer<RequestCompletion> listener) {
        mEntry.submit(request, end -> ended(request, end, listener));
    }

    /**
     * Gives up a request because its caller went away.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        Search search = mSearches.get(request);
        if (search != null) {
            search.cancel();
            return;
        }
        mEntry.cancel(request);
    }

    private void ended(
            SteeredRequest request, RequestCompletion end, Consumer<RequestCompletion> listener) {
        if (!cannotPay(end)) {
            listener.accept(end);
            return;
        }
        Search search = new Search(request, (RequestCompletion.Refused) end, listener);
        mSearches.put(request.head().id(), search);
        search.askNext();
    }

    /** Tells whether a request did not run because its instance has no allotment, or not yet. */
    private static boolean cannotPay(RequestCompletion end) {
        return end instanceof RequestCompletion.Refused refused
                && refused.refusal().verdict() == Verdict.DID_NOT_RUN
                && NO_ALLOTMENT.contains(refused.refusal().cause());
    }

    /** The allotment of an instance for a service. */
    private record AllotmentKey(InstanceId instance, ServiceId service) {}

    /** The search for an instance that pays for one request. */
    private final class Search {

        private final SteeredRequest mRequest;
        private final RequestCompletion.Refused mOwnEnd;
        private final Consumer<RequestCompletion> mListener;
        private final Queue<InstanceId> mLeft = new ArrayDeque<>();
        private InstanceId mAsked;
        private boolean mMayHaveRun;
        private boolean mCancelled;

        Search(
                SteeredRequest request,
                RequestCompletion.Refused ownEnd,
                Consumer<RequestCompletion> listener) {
            mRequest = request;
            mOwnEnd = ownEnd;
            mListener = listener;
            mDirectory.othersFor(request.head().id()).stream()
                    .filter(each -> !isEmpty(purse(each)))
                    .forEach(mLeft::add);
        }

        void askNext() {
            long left = mRequest.head().deadlineNanos() - mTimeSource.monotonicNanos();
            if (mCancelled || mLeft.isEmpty() || left <= 0) {
                finish(mOwnEnd);
                return;
            }
            InstanceId next = mLeft.remove();
            mAsked = next;
            mRemote.steer(next, mRequest, result -> mDuty.execute(() -> answered(next, result)));
        }

        void cancel() {
            mCancelled = true;
            mRemote.cancel(mAsked, mRequest.head().id());
        }

        private void answered(InstanceId from, RemoteAdmitter.ForwardResult result) {
            if (result instanceof RemoteAdmitter.ForwardResult.Ended ended) {
                if (cannotPay(ended.completion())) {
                    mEmptySince.put(purse(from), mTimeSource.monotonicNanos());
                    askNext();
                    return;
                }
                finish(ended.completion());
            } else if (result instanceof RemoteAdmitter.ForwardResult.Lost lost) {
                lost(lost);
            } else {
                askNext();
            }
        }

        private void lost(RemoteAdmitter.ForwardResult.Lost lost) {
            mMayHaveRun = true;
            if (mRetries.tryRetry(Verdict.MAY_HAVE_RUN, mRequest.head().kind())) {
                askNext();
                return;
            }
            finish(new RequestCompletion.Refused(Refusal.mayHaveRun(lost.cause(), lost.reason())));
        }

        private boolean isEmpty(AllotmentKey purse) {
            Long since = mEmptySince.get(purse);
            return since != null && mTimeSource.monotonicNanos() - since < FORGET_NANOS;
        }

        private AllotmentKey purse(InstanceId instance) {
            return new AllotmentKey(instance, mRequest.head().service());
        }

        private void finish(RequestCompletion end) {
            mSearches.remove(mRequest.head().id());
            mListener.accept(mMayHaveRun ? end.asUncertain() : end);
        }
    }
}
