package io.masticpond.daemon.steering;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ServiceSpecification;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.region.RegionAttemptOutcome;
import io.masticpond.core.region.RegionSelector;
import io.masticpond.core.region.RetryBudget;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.Verdict;
import io.masticpond.core.spending.Charge;
import io.masticpond.core.spending.SpendingGate;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.daemon.metrics.AttemptKind;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Entry side of the request path: selects the region of a request, charges and forwards it.
 *
 * <p>Confined to the steering thread. Each request completes exactly once, with a verdict that
 * covers all its attempts: if one of them may have run, so may the request.
 *
 * @since 0.1
 */
public final class EntrySteering {

    private static final int MAXIMUM_ATTEMPTS = 6;

    /** Maximum time for which a request waits for an allotment that is being renewed. */
    private static final long ALLOTMENT_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    /** Maximum number of requests that wait for an allotment at a time. */
    private static final int MAXIMUM_WAITING = 1_024;

    private final Executor mSteeringExecutor;
    private final TimeSource mTimeSource;
    private final InstanceId mSelf;
    private final Supplier<Configuration> mConfiguration;
    private final RegionSelector mSelector;
    private final SpendingGate mSpending;
    private final RetryBudget mRetryBudget;
    private final ShardDirectory mDirectory;
    private final AdmitterSteering mAdmitter;
    private final RemoteAdmitter mRemote;
    private final Timeline mTimeline;
    private final Map<RequestId, Flow> mFlows = new HashMap<>();
    private List<Flow> mWaiting = new ArrayList<>();
    private BiConsumer<ServiceId, AttemptKind> mFurtherAttemptListener = (service, kind) -> {};

    /**
     * Creates an entry side.
     *
     * @param steeringExecutor runs tasks on the steering thread and never drops one
     * @param timeSource the source of the current time
     * @param self this instance
     * @param configuration supplies the configuration in force
     * @param decisions the decision-makers, confined to the steering thread
     * @param directory provides the shards and their admitters
     * @param admitter the admitter side of this instance
     * @param remote forwards to other instances
     * @param timeline records events
     */
    public EntrySteering(
            Executor steeringExecutor,
            TimeSource timeSource,
            InstanceId self,
            Supplier<Configuration> configuration,
            EntryDecisions decisions,
            ShardDirectory directory,
            AdmitterSteering admitter,
            RemoteAdmitter remote,
            Timeline timeline) {
        mSteeringExecutor = steeringExecutor;
        mTimeSource = timeSource;
        mSelf = self;
        mConfiguration = configuration;
        mSelector = decisions.selector();
        mSpending = decisions.spending();
        mRetryBudget = decisions.retries();
        mDirectory = directory;
        mAdmitter = admitter;
        mRemote = remote;
        mTimeline = timeline;
    }

    /**
     * Sets the listener that is notified of every attempt after the first of a request.
     *
     * @param listener receives the service and the kind of the attempt, on the steering thread
     */
    public void setFurtherAttemptListener(BiConsumer<ServiceId, AttemptKind> listener) {
        mFurtherAttemptListener = Assert.notNull(listener, "A listener to further attempts");
    }

    /**
     * Steers a request until it completes.
     *
     * @param request the request; its id must not be in use
     * @param listener receives the completion, on the steering thread
     */
    public void submit(SteeredRequest request, Consumer<RequestCompletion> listener) {
        Flow flow = new Flow(request, listener);
        mFlows.put(request.head().id(), flow);
        mRetryBudget.recordFirstAttempt();
        flow.startAttempt();
    }

    /**
     * Cancels a request because its caller has disconnected.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        Flow flow = mFlows.get(request);
        if (flow != null) {
            flow.cancel();
        }
    }

    /** Retries to charge the requests that wait for an allotment. */
    public void advance() {
        if (mWaiting.isEmpty()) {
            return;
        }
        List<Flow> waiting = mWaiting;
        mWaiting = new ArrayList<>();
        waiting.forEach(Flow::startAttempt);
    }

    /**
     * Returns the number of requests that have not completed.
     *
     * @return the count
     */
    public int inFlight() {
        return mFlows.size();
    }

    /**
     * Decision-makers of the entry side, confined to the steering thread.
     *
     * @param selector selects regions
     * @param spending charges attempts
     * @param retries the retry budget
     */
    public record EntryDecisions(
            RegionSelector selector, SpendingGate spending, RetryBudget retries) {}

    /** State of one request. */
    private final class Flow {

        private final SteeredRequest mRequest;
        private final Consumer<RequestCompletion> mListener;
        private final Set<RegionId> mTried = new HashSet<>();
        private final Queue<ShardDirectory.ShardRoute> mRoutes = new ArrayDeque<>();
        private RegionId mRegion;
        private Charge mCharge;
        private InstanceId mTarget;
        private int mAttempts;
        private boolean mMayHaveRun;
        private boolean mCancelled;

        /** Kind of the next attempt; null before the first. */
        private AttemptKind mNextAttempt;

        private final long mStartNanos = mTimeSource.monotonicNanos();

        Flow(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mRequest = request;
            mListener = listener;
        }

        void startAttempt() {
            if (mCancelled) {
                refuse(RefusalCause.CANCELLED, "The caller gave up before the request was sent.");
                return;
            }
            if (mRequest.head().deadlineNanos() - mTimeSource.monotonicNanos() <= 0) {
                refuse(RefusalCause.DEADLINE, "The deadline passed before a slot was free.");
                return;
            }
            if (mAttempts++ >= MAXIMUM_ATTEMPTS) {
                refuse(RefusalCause.NO_CAPACITY, "Every region that was tried refused it.");
                return;
            }
            Either<Refusal, RegionId> selection = mSelector.select(mRequest.head(), mTried);
            if (selection.isLeft()) {
                finish(new RequestCompletion.Refused(selection.getLeft()));
                return;
            }
            mRegion = selection.get();
            charge();
        }

        private void charge() {
            Optional<ServiceSpecification> service =
                    mConfiguration.get().service(mRequest.head().service());
            long priceMicros = service.map(found -> found.priceMicros(mRegion)).orElse(0L);
            Either<Refusal, Charge> charge =
                    mSpending.charge(mRequest.head().service(), priceMicros);
            if (charge.isLeft()) {
                mSelector.recordOutcome(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
                onChargeRefused(charge.getLeft());
                return;
            }
            mCharge = charge.get();
            forward();
        }

        private void onChargeRefused(Refusal refusal) {
            boolean renewing = refusal.cause() == RefusalCause.NOT_READY;
            boolean inTime = mTimeSource.monotonicNanos() - mStartNanos < ALLOTMENT_WAIT_NANOS;
            if (renewing && inTime && !mCancelled && mWaiting.size() < MAXIMUM_WAITING) {
                mAttempts--;
                mWaiting.add(this);
                return;
            }
            finish(new RequestCompletion.Refused(refusal));
        }

        private void forward() {
            List<ShardDirectory.ShardRoute> routes =
                    mDirectory.routes(mRequest.head().service(), mRegion);
            if (routes.isEmpty()) {
                onAttemptRefused(
                        RegionAttemptOutcome.LOST,
                        Refusal.didNotRun(
                                RefusalCause.INSTANCE_LOST,
                                "No instance can be reached in " + mRegion + "."));
                return;
            }
            mRoutes.clear();
            mRoutes.addAll(routes);
            forwardToNextShard();
        }

        private void forwardToNextShard() {
            ShardDirectory.ShardRoute route = mRoutes.remove();
            mDirectory.recordForward(route.shard());
            if (mNextAttempt != null) {
                mFurtherAttemptListener.accept(mRequest.head().service(), mNextAttempt);
            }
            mNextAttempt = AttemptKind.SPILL;
            forward(route, 0);
        }

        private void forward(ShardDirectory.ShardRoute route, int admitterIndex) {
            if (admitterIndex >= route.admitters().size()) {
                onShardRefused(
                        RegionAttemptOutcome.LOST,
                        Refusal.didNotRun(
                                RefusalCause.INSTANCE_LOST,
                                "No admitter of " + route.shard() + " can be reached."));
                return;
            }
            mTarget = route.admitters().get(admitterIndex);
            if (mTarget.equals(mSelf)) {
                mAdmitter.offer(route.shard(), mRequest, this::onCompletion);
                return;
            }
            mRemote.forward(
                    mTarget,
                    route.shard(),
                    mRequest,
                    result ->
                            mSteeringExecutor.execute(
                                    () -> onForwardResult(route, admitterIndex, result)));
        }

        private void onForwardResult(
                ShardDirectory.ShardRoute route,
                int admitterIndex,
                RemoteAdmitter.ForwardResult result) {
            if (result instanceof RemoteAdmitter.ForwardResult.Ended ended) {
                ended.headroom()
                        .ifPresent(
                                headroom ->
                                        mSelector.observe(
                                                mRequest.head().service(),
                                                mRegion,
                                                mDirectory.observe(route.shard(), headroom)));
                if (isNotAdmitter(ended.completion())) {
                    forward(route, admitterIndex + 1);
                    return;
                }
                onCompletion(ended.completion());
            } else if (result instanceof RemoteAdmitter.ForwardResult.NotSent) {
                forward(route, admitterIndex + 1);
            } else if (result instanceof RemoteAdmitter.ForwardResult.Lost lost) {
                onCompletion(
                        new RequestCompletion.Refused(
                                Refusal.mayHaveRun(lost.cause(), lost.reason())));
            }
        }

        private boolean isNotAdmitter(RequestCompletion completion) {
            return completion instanceof RequestCompletion.Refused refused
                    && refused.refusal().verdict() == Verdict.DID_NOT_RUN
                    && refused.refusal().cause() == RefusalCause.NOT_READY;
        }

        private void onCompletion(RequestCompletion completion) {
            if (completion instanceof RequestCompletion.Refused refused) {
                if (refused.refusal().verdict() == Verdict.DID_NOT_RUN) {
                    onShardRefused(RegionAttemptOutcome.REFUSED, refused.refusal());
                } else {
                    onAttemptFailed(refused);
                }
                return;
            }
            mSelector.recordOutcome(mRequest.head(), mRegion, RegionAttemptOutcome.ANSWERED);
            finish(completion);
        }

        /** Continues with the next shard of the region or, after the last, the next region. */
        private void onShardRefused(RegionAttemptOutcome outcome, Refusal refusal) {
            if (mCancelled || isFinal(refusal.cause()) || mRoutes.isEmpty()) {
                onAttemptRefused(outcome, refusal);
                return;
            }
            forwardToNextShard();
        }

        private void onAttemptRefused(RegionAttemptOutcome outcome, Refusal refusal) {
            mSpending.refund(mCharge);
            mSelector.recordOutcome(mRequest.head(), mRegion, outcome);
            mTried.add(mRegion);
            if (mCancelled || isFinal(refusal.cause())) {
                finish(new RequestCompletion.Refused(refusal));
                return;
            }
            startAttempt();
        }

        private boolean isFinal(RefusalCause cause) {
            return cause == RefusalCause.DEADLINE
                    || cause == RefusalCause.CANCELLED
                    || cause == RefusalCause.BAD_REQUEST;
        }

        private void onAttemptFailed(RequestCompletion.Refused refused) {
            mSelector.recordOutcome(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
            mMayHaveRun = true;
            if (!mCancelled
                    && mRetryBudget.tryRetry(refused.refusal().verdict(), mRequest.head().kind())) {
                mTimeline.record(
                        TimelinePart.STEER,
                        "request-retried",
                        mRequest.head().service().value(),
                        mRequest.head().id().value(),
                        refused.refusal().cause().text());
                mNextAttempt = AttemptKind.RETRY;
                startAttempt();
                return;
            }
            finish(refused);
        }

        void cancel() {
            mCancelled = true;
            if (mSelf.equals(mTarget)) {
                mAdmitter.cancel(mRequest.head().id());
            } else if (mTarget != null) {
                mRemote.cancel(mTarget, mRequest.head().id());
            }
        }

        private void refuse(RefusalCause cause, String detail) {
            finish(new RequestCompletion.Refused(Refusal.didNotRun(cause, detail)));
        }

        private void finish(RequestCompletion completion) {
            mFlows.remove(mRequest.head().id());
            mListener.accept(mMayHaveRun ? completion.asUncertain() : completion);
        }
    }
}
