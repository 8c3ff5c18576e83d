package io.masticpond.core.admission;

import io.masticpond.core.configuration.BackendServerSpecification;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RequestId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.request.Refusal;
import io.masticpond.core.request.RefusalCause;
import io.masticpond.core.request.RequestHead;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Default implementation of {@link Admission} that admits by exact slot counts and queues requests
 * in the order of their deadlines.
 *
 * <p>A request is refused as soon as its estimated wait shows that it cannot meet its deadline;
 * among competing requests the one with the lowest priority is refused. Between two calls either no
 * usable slot is free or no request waits. The exception is non-idempotent work, which is not sent
 * to a server on trial while another server is in use.
 *
 * @since 0.1
 */
public final class DefaultAdmission implements Admission {

    private record Dispatch(RequestHead request, BackendServerState server, long nanos) {}

    private final Shard mShard;
    private final AdmissionSettings mSettings;
    private final TimeSource mTimeSource;
    private final AdmissionSink mSink;
    private final Timeline mTimeline;
    private final BackendServerTable mServers;
    private final DeadlineQueue mQueue;
    private final WaitEstimator mEstimator = new WaitEstimator();
    private final OverloadCheck mOverloadCheck = new OverloadCheck(mEstimator);
    private final AttemptEvaluator mAttemptEvaluator;
    private final Map<RequestId, Dispatch> mDispatches = new HashMap<>();
    private Optional<SlotShare> mShare = Optional.empty();
    private AdmissionShare mEffectiveShare = AdmissionShare.FAIR_SHARE;
    private boolean mPaused;
    private long mPauseEndNanos;
    private long mLastCallNanos;

    /**
     * Creates an admission without backend servers, which refuses every request until {@link
     * #configure} is called.
     *
     * @param shard the shard whose work is admitted
     * @param settings the limits and rates
     * @param timeSource the source of the monotonic time
     * @param sink receives the decisions
     * @param timeline records events
     */
    public DefaultAdmission(
            Shard shard,
            AdmissionSettings settings,
            TimeSource timeSource,
            AdmissionSink sink,
            Timeline timeline) {
        this(shard, settings, timeSource, sink, timeline, new WeightedServerSelector());
    }

    /**
     * Creates an admission without backend servers that chooses among servers with the given
     * selector.
     *
     * @param shard the shard whose work is admitted
     * @param settings the limits and rates
     * @param timeSource the source of the monotonic time
     * @param sink receives the decisions
     * @param timeline records events
     * @param selector the strategy that chooses among servers with a free slot
     */
    public DefaultAdmission(
            Shard shard,
            AdmissionSettings settings,
            TimeSource timeSource,
            AdmissionSink sink,
            Timeline timeline,
            ServerSelector selector) {
        mShard = Assert.notNull(shard, "A shard");
        mSettings = Assert.notNull(settings, "The settings");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mSink = Assert.notNull(sink, "A sink");
        mTimeline = Assert.notNull(timeline, "A timeline");
        mServers = new BackendServerTable(settings, Assert.notNull(selector, "A selector"));
        mQueue = new DeadlineQueue(settings.maximumWaiting());
        mAttemptEvaluator = new AttemptEvaluator(settings.outliers(), mServers, this::record);
        mLastCallNanos = timeSource.monotonicNanos();
    }

    @Override
    public void configure(List<BackendServerSpecification> servers, SlotShare share) {
        long nanos = beginCall();
        mServers.configure(servers, nanos);
        mShare = Optional.of(share);
        applyShare(mPaused ? AdmissionShare.FAIR_SHARE : share.share(), nanos);
        processQueue(nanos);
    }

    @Override
    public void offer(RequestHead request) {
        long nanos = beginCall();
        Assert.isTrue(
                !mQueue.contains(request.id()) && !mDispatches.containsKey(request.id()),
                "Request %s must not be offered twice.",
                request.id());
        SlotCounts counts = mServers.counts();
        if (counts.usable() == 0) {
            refuse(request, noServer(nanos));
            return;
        }
        if (mQueue.isFull()) {
            RequestHead lowest = mOverloadCheck.findLowestPriority(mQueue, request);
            mQueue.remove(lowest.id());
            refuse(lowest, queueFull(counts, nanos));
            if (lowest.equals(request)) {
                return;
            }
        }
        mQueue.add(request);
        refuseInfeasible(request.id(), nanos);
        dispatchWaiting(nanos);
    }

    @Override
    public boolean cancel(RequestId request) {
        long nanos = beginCall();
        boolean waited = mQueue.remove(request).isPresent();
        processQueue(nanos);
        return waited;
    }

    @Override
    public void complete(RequestId request, AttemptOutcome outcome) {
        long nanos = beginCall();
        Dispatch dispatch = mDispatches.remove(request);
        Assert.isTrue(dispatch != null, "Request %s must be in flight, but is not.", request);
        BackendServerState server = dispatch.server();
        if (outcome.mayStillRun()) {
            long release = dispatch.request().deadlineNanos() + mSettings.grace().toNanos();
            server.held().abandon(dispatch.nanos(), Math.max(nanos, release));
        } else {
            server.held().end();
        }
        long held = nanos - dispatch.nanos();
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.TIMED_OUT) {
            mEstimator.sample(held);
        }
        mAttemptEvaluator.evaluate(server, outcome, held, nanos);
        processQueue(nanos);
    }

    @Override
    public void observe(BackendServerId server, BackendServerSignal signal) {
        long nanos = beginCall();
        Optional<BackendServerState> state = mServers.find(server);
        state.ifPresent(found -> mAttemptEvaluator.observe(found, signal, nanos));
        mServers.advance(nanos);
        processQueue(nanos);
    }

    @Override
    public void advance() {
        processQueue(beginCall());
    }

    @Override
    public Headroom headroom() {
        SlotCounts counts = mServers.counts();
        long nanos = mTimeSource.monotonicNanos();
        long wait =
                counts.usable() == 0
                        ? Long.MAX_VALUE
                        : mOverloadCheck.waitNanos(mQueue.size(), counts, nanos);
        return new Headroom(counts.usable(), counts.held(), mQueue.size(), wait, step());
    }

    private DegradationStep step() {
        return mEffectiveShare.step(mServers.withheld());
    }

    /**
     * Records the time of a call, detects a pause of the process before it, and advances the
     * servers.
     */
    private long beginCall() {
        long nanos = mTimeSource.monotonicNanos();
        boolean late = nanos - mLastCallNanos > mSettings.pauseLimit().toNanos();
        if (late && mShare.isPresent()) {
            pause(nanos);
        } else if (mPaused && nanos - mPauseEndNanos >= 0) {
            resume(nanos);
        }
        mLastCallNanos = nanos;
        mServers.advance(nanos);
        return nanos;
    }

    /**
     * Falls back to the fair share, since another admitter may have taken over during the pause.
     * Membership gets as long as the pause limit to report one.
     */
    private void pause(long nanos) {
        mPaused = true;
        mPauseEndNanos = nanos + mSettings.pauseLimit().toNanos();
        applyShare(AdmissionShare.FAIR_SHARE, nanos);
        record("admission-paused", "", Duration.ofNanos(nanos - mLastCallNanos).toString());
    }

    private void resume(long nanos) {
        mPaused = false;
        boolean fair = mShare.map(SlotShare::share).equals(Optional.of(AdmissionShare.FAIR_SHARE));
        applyShare(fair ? AdmissionShare.FAIR_SHARE : AdmissionShare.WIDENING, nanos);
    }

    private void processQueue(long nanos) {
        if (!mQueue.isEmpty() && mServers.counts().usable() == 0) {
            refuseAll(nanos);
            return;
        }
        refuseInfeasible(null, nanos);
        dispatchWaiting(nanos);
    }

    private void applyShare(AdmissionShare share, long nanos) {
        if (mShare.isEmpty()) {
            return;
        }
        boolean widens =
                share == AdmissionShare.WIDENING && mEffectiveShare != AdmissionShare.WIDENING;
        mEffectiveShare = share;
        for (BackendServerState server : mServers.all()) {
            BackendServerSpecification specification = server.specification();
            int fairSlots = mShare.get().fairSlots(specification);
            server.setShare(share, fairSlots);
            if (widens) {
                server.withheld().start(specification.slots() - fairSlots, nanos);
            }
        }
    }

    private void dispatchWaiting(long nanos) {
        while (!mQueue.isEmpty()) {
            RequestHead request = mQueue.first();
            Optional<BackendServerState> server = mServers.select(request, nanos);
            if (server.isEmpty()) {
                return;
            }
            mQueue.remove(request.id());
            if (nanos + mEstimator.fastNanos() - request.deadlineNanos() > 0) {
                refuse(request, tooLate());
                continue;
            }
            dispatch(request, server.get(), nanos);
        }
    }

    private void dispatch(RequestHead request, BackendServerState server, long nanos) {
        server.dispatch(nanos);
        mDispatches.put(request.id(), new Dispatch(request, server, nanos));
        mSink.dispatch(request, server.id());
    }

    private void refuseInfeasible(RequestId newest, long nanos) {
        while (!mQueue.isEmpty()) {
            SlotCounts counts = mServers.counts();
            Optional<RequestHead> refused =
                    mOverloadCheck.findRequestToRefuse(mQueue, newest, counts, nanos);
            if (refused.isEmpty()) {
                return;
            }
            mQueue.remove(refused.get().id());
            refuse(refused.get(), noCapacity(refused.get(), counts, nanos));
        }
    }

    private void refuseAll(long nanos) {
        Refusal refusal = noServer(nanos);
        while (!mQueue.isEmpty()) {
            RequestHead request = mQueue.first();
            mQueue.remove(request.id());
            refuse(request, refusal);
        }
    }

    private void refuse(RequestHead request, Refusal refusal) {
        mSink.refuse(request, refusal);
    }

    private Refusal noServer(long nanos) {
        Refusal refusal =
                Refusal.didNotRun(
                        RefusalCause.NO_BACKEND_SERVER,
                        "No backend server of " + mShard + " takes work now.");
        long opening = mServers.nextOpeningNanos();
        return opening == Long.MAX_VALUE
                ? refusal
                : refusal.retryAfter(Duration.ofNanos(Math.max(1, opening - nanos)));
    }

    private Refusal queueFull(SlotCounts counts, long nanos) {
        long wait = mOverloadCheck.waitNanos(mQueue.size(), counts, nanos);
        return Refusal.didNotRun(
                        RefusalCause.QUEUE_FULL,
                        "The queue of " + mShard + " holds " + mQueue.size() + " requests.")
                .retryAfter(Duration.ofNanos(Math.max(wait, mEstimator.typicalNanos())));
    }

    private Refusal noCapacity(RequestHead request, SlotCounts counts, long nanos) {
        long wait = mOverloadCheck.waitNanos(mQueue.size(), counts, nanos);
        long typical = mEstimator.typicalNanos();
        long late = nanos + wait + typical - request.deadlineNanos();
        return Refusal.didNotRun(
                        RefusalCause.NO_CAPACITY,
                        String.format(
                                "No slot of %s is expected in time: the wait is %d ms.",
                                mShard, Duration.ofNanos(wait).toMillis()))
                .retryAfter(Duration.ofNanos(Math.max(late, typical)));
    }

    private Refusal tooLate() {
        return Refusal.didNotRun(
                RefusalCause.DEADLINE, "The deadline came before " + mShard + " had a slot.");
    }

    private void record(String event, String object, String detail) {
        mTimeline.record(TimelinePart.ADMIT, event, mShard.service().value(), object, detail);
    }
}
