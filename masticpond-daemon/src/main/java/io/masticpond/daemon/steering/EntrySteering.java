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
 * The entry side of the request path: charges a request, chooses its region and forwards it.
 *
 * <p>Belongs to the steering duty. Each request ends once, with a verdict that covers all its
 * attempts: if one of them may have run, so may the request.
 *
 * @since 0.1
 */
public final class EntrySteering {

    private static final int MAXIMUM_ATTEMPTS = 6;

    /** How long a request waits for an allotment that is being renewed. */
    private static final long ALLOTMENT_WAIT_NANOS = Duration.ofSeconds(1).toNanos();

    /** How many requests may wait for an allotment at a time. */
    private static final int MAXIMUM_WAITING = 1_024;

    private final Executor mDuty;
    private final TimeSource mTimeSource;
    private final InstanceId mSelf;
    private final Supplier<Configuration> mConfiguration;
    private final RegionSelector mSelector;
    private final SpendingGate mSpending;
    private final RetryBudget mRetries;
    private final ShardDirectory mDirectory;
    private final AdmitterSteering mAdmitter;
    private final RemoteAdmitter mRemote;
    private final Timeline mTimeline;
    private final Map<RequestId, Flow> mFlows = new HashMap<>();
    private List<Flow> mWaiting = new ArrayList<>();
    private BiConsumer<ServiceId, AttemptKind> mFurtherAttempts = (service, kind) -> {};

    /**
     * Makes an entry side.
     *
     * @param duty runs tasks on the steering duty, and loses none
     * @param timeSource the clocks
     * @param self this instance
     * @param configuration gives the configuration in force
     * @param decisions the decisions that belong to the duty
     * @param directory tells who admits where
     * @param admitter the admitter side of this instance
     * @param remote forwards to other instances
     * @param timeline takes events
     */
    public EntrySteering(
            Executor duty,
            TimeSource timeSource,
            InstanceId self,
            Supplier<Configuration> configuration,
            EntryDecisions decisions,
            ShardDirectory directory,
            AdmitterSteering admitter,
            RemoteAdmitter remote,
            Timeline timeline) {
        mDuty = duty;
        mTimeSource = timeSource;
        mSelf = self;
        mConfiguration = configuration;
        mSelector = decisions.selector();
        mSpending = decisions.spending();
        mRetries = decisions.retries();
        mDirectory = directory;
        mAdmitter = admitter;
        mRemote = remote;
        mTimeline = timeline;
    }

    /**
     * Tells a listener of every attempt after the first of a request.
     *
     * @param listener takes the service and why the attempt was made, on the steering duty
     */
    public void setFurtherAttemptListener(BiConsumer<ServiceId, AttemptKind> listener) {
        mFurtherAttempts = Assert.notNull(listener, "A listener to further attempts");
    }

    /**
     * Steers a request to its end.
     *
     * @param request the request; its id must not be in use
     * @param listener takes the one end, on the steering duty
     */
    public void submit(SteeredRequest request, Consumer<RequestCompletion> listener) {
        Flow flow = new Flow(request, listener);
        mFlows.put(request.head().id(), flow);
        mRetries.firstAttempt();
        flow.step();
    }

    /**
     * Gives up a request because its caller went away.
     *
     * @param request the request
     */
    public void cancel(RequestId request) {
        Flow flow = mFlows.get(request);
        if (flow != null) {
            flow.cancel();
        }
    }

    /** Tries again to charge the requests that wait for an allotment. */
    public void advance() {
        if (mWaiting.isEmpty()) {
            return;
        }
        List<Flow> waiting = mWaiting;
        mWaiting = new ArrayList<>();
        waiting.forEach(Flow::step);
    }

    /**
     * Counts the requests that have not ended.
     *
     * @return the count
     */
    public int inFlight() {
        return mFlows.size();
    }

    /**
     * Decisions that belong to the steering duty.
     *
     * @param selector chooses regions
     * @param spending charges attempts
     * @param retries the budget of retries
     */
    public record EntryDecisions(
            RegionSelector selector, SpendingGate spending, RetryBudget retries) {}

    /** The way of one request. */
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

        /** Why the next attempt would be made; null before the first. */
        private AttemptKind mNextAttempt;

        private final long mStartNanos = mTimeSource.monotonicNanos();

        Flow(SteeredRequest request, Consumer<RequestCompletion> listener) {
            mRequest = request;
            mListener = listener;
        }

        void step() {
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
            Either<Refusal, RegionId> choice = mSelector.select(mRequest.head(), mTried);
            if (choice.isLeft()) {
                finish(new RequestCompletion.Refused(choice.getLeft()));
                return;
            }
            mRegion = choice.get();
            charge();
        }

        private void charge() {
            Optional<ServiceSpecification> service =
                    mConfiguration.get().service(mRequest.head().service());
            long price = service.map(found -> found.priceMicros(mRegion)).orElse(0L);
            Either<Refusal, Charge> charge = mSpending.charge(mRequest.head().service(), price);
            if (charge.isLeft()) {
                mSelector.ended(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
                notCharged(charge.getLeft());
                return;
            }
            mCharge = charge.get();
            forward();
        }

        private void notCharged(Refusal refusal) {
            boolean renewed = refusal.cause() == RefusalCause.NOT_READY;
            boolean inTime = mTimeSource.monotonicNanos() - mStartNanos < ALLOTMENT_WAIT_NANOS;
            if (renewed && inTime && !mCancelled && mWaiting.size() < MAXIMUM_WAITING) {
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
                attemptRefused(
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
            mDirectory.sent(route.shard());
            if (mNextAttempt != null) {
                mFurtherAttempts.accept(mRequest.head().service(), mNextAttempt);
            }
            mNextAttempt = AttemptKind.SPILL;
            forward(route, 0);
        }

        private void forward(ShardDirectory.ShardRoute route, int choice) {
            if (choice >= route.admitters().size()) {
                shardRefused(
                        RegionAttemptOutcome.LOST,
                        Refusal.didNotRun(
                                RefusalCause.INSTANCE_LOST,
                                "No admitter of " + route.shard() + " can be reached."));
                return;
            }
            mTarget = route.admitters().get(choice);
            if (mTarget.equals(mSelf)) {
                mAdmitter.offer(route.shard(), mRequest, this::ended);
                return;
            }
            mRemote.forward(
                    mTarget,
                    route.shard(),
                    mRequest,
                    result -> mDuty.execute(() -> forwarded(route, choice, result)));
        }

        private void forwarded(
                ShardDirectory.ShardRoute route, int choice, RemoteAdmitter.ForwardResult result) {
            if (result instanceof RemoteAdmitter.ForwardResult.Ended end) {
                end.headroom()
                        .ifPresent(
                                counts ->
                                        mSelector.observe(
                                                mRequest.head().service(),
                                                mRegion,
                                                mDirectory.observe(route.shard(), counts)));
                if (isNotAdmitter(end.completion())) {
                    forward(route, choice + 1);
                    return;
                }
                ended(end.completion());
            } else if (result instanceof RemoteAdmitter.ForwardResult.NotSent) {
                forward(route, choice + 1);
            } else if (result instanceof RemoteAdmitter.ForwardResult.Lost lost) {
                ended(
                        new RequestCompletion.Refused(
                                Refusal.mayHaveRun(lost.cause(), lost.reason())));
            }
        }

        private boolean isNotAdmitter(RequestCompletion end) {
            return end instanceof RequestCompletion.Refused refused
                    && refused.refusal().verdict() == Verdict.DID_NOT_RUN
                    && refused.refusal().cause() == RefusalCause.NOT_READY;
        }

        private void ended(RequestCompletion end) {
            if (end instanceof RequestCompletion.Refused refused) {
                if (refused.refusal().verdict() == Verdict.DID_NOT_RUN) {
                    shardRefused(RegionAttemptOutcome.REFUSED, refused.refusal());
                } else {
                    attemptFailed(refused);
                }
                return;
            }
            mSelector.ended(mRequest.head(), mRegion, RegionAttemptOutcome.ANSWERED);
            finish(end);
        }

        /** Goes on with the next shard of the region, and with the next region after the last. */
        private void shardRefused(RegionAttemptOutcome how, Refusal refusal) {
            if (mCancelled || isFinal(refusal.cause()) || mRoutes.isEmpty()) {
                attemptRefused(how, refusal);
                return;
            }
            forwardToNextShard();
        }

        private void attemptRefused(RegionAttemptOutcome how, Refusal refusal) {
            mSpending.refund(mCharge);
            mSelector.ended(mRequest.head(), mRegion, how);
            mTried.add(mRegion);
            if (mCancelled || isFinal(refusal.cause())) {
                finish(new RequestCompletion.Refused(refusal));
                return;
            }
            step();
        }

        private boolean isFinal(RefusalCause cause) {
            return cause == RefusalCause.DEADLINE
                    || cause == RefusalCause.CANCELLED
                    || cause == RefusalCause.BAD_REQUEST;
        }

        private void attemptFailed(RequestCompletion.Refused refused) {
            mSelector.ended(mRequest.head(), mRegion, RegionAttemptOutcome.FAILED);
            mMayHaveRun = true;
            if (!mCancelled
                    && mRetries.tryRetry(refused.refusal().verdict(), mRequest.head().kind())) {
                mTimeline.record(
                        TimelinePart.STEER,
                        "request-retried",
                        mRequest.head().service().value(),
                        mRequest.head().id().value(),
                        refused.refusal().cause().text());
                mNextAttempt = AttemptKind.RETRY;
                step();
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

        private void finish(RequestCompletion end) {
            mFlows.remove(mRequest.head().id());
            mListener.accept(mMayHaveRun ? end.asUncertain() : end);
        }
    }
}
