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
 * Admits by exact counts, with one queue in the order of deadlines.
 *
 * <p>A request is refused as soon as the estimate of its wait shows that it can't meet its
 * deadline; of those that compete the one with the lowest priority is refused. Between two calls
 * either no usable slot is free or nothing waits, save for work that must not repeat, which does
 * not go to a server in its trickle while another is in use.
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
    private final AttemptEvaluator mJudge;
    private final Map<RequestId, Dispatch> mDispatches = new HashMap<>();
    private Optional<SlotShare> mShare = Optional.empty();
    private AdmissionShare mInUse = AdmissionShare.FAIR_SHARE;
    private boolean mPaused;
    private long mPauseEndNanos;
    private long mLastCallNanos;

    /**
     * Starts without backend servers; everything is refused until {@link #configure}.
     *
     * @param shard the shard whose work is admitted
     * @param settings the limits and paces
     * @param timeSource the clock
     * @param sink carries out the decisions
     * @param timeline takes events
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
     * Starts without backend servers, with a way to choose among them.
     *
     * @param shard the shard whose work is admitted
     * @param settings the limits and paces
     * @param timeSource the clock
     * @param sink carries out the decisions
     * @param timeline takes events
     * @param selector chooses among servers with a free slot
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
        mTimeline = Assert.notNull(timeline, "A time line");
        mServers = new BackendServerTable(settings, Assert.notNull(selector, "A selector"));
        mQueue = new DeadlineQueue(settings.maximumWaiting());
        mJudge = new AttemptEvaluator(settings.outliers(), mServers, this::record);
        mLastCallNanos = timeSource.monotonicNanos();
    }

    @Override
    public void configure(List<BackendServerSpecification> servers, SlotShare share) {
        long nanos = enter();
        mServers.configure(servers, nanos);
        mShare = Optional.of(share);
        use(mPaused ? AdmissionShare.FAIR_SHARE : share.share(), nanos);
        act(nanos);
    }

    @Override
    public void offer(RequestHead request) {
        long nanos = enter();
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
            RequestHead weakest = mOverloadCheck.weakest(mQueue, request);
            mQueue.remove(weakest.id());
            refuse(weakest, queueFull(counts, nanos));
            if (weakest.equals(request)) {
                return;
            }
        }
        mQueue.add(request);
        refuseHopeless(request.id(), nanos);
        dispatchWaiting(nanos);
    }

    @Override
    public boolean cancel(RequestId request) {
        long nanos = enter();
        boolean waited = mQueue.remove(request).isPresent();
        act(nanos);
        return waited;
    }

    @Override
    public void complete(RequestId request, AttemptOutcome outcome) {
        long nanos = enter();
        Dispatch dispatch = mDispatches.remove(request);
        Assert.isTrue(dispatch != null, "Request %s must be in flight, but is not.", request);
        BackendServerState server = dispatch.server();
        if (outcome.mayStillRun()) {
            long release = dispatch.request().deadlineNanos() + mSettings.grace().toNanos();
            server.held().giveUp(dispatch.nanos(), Math.max(nanos, release));
        } else {
            server.held().end();
        }
        long held = nanos - dispatch.nanos();
        if (outcome == AttemptOutcome.ANSWERED || outcome == AttemptOutcome.TIMED_OUT) {
            mEstimator.sample(held);
        }
        mJudge.evaluate(server, outcome, held, nanos);
        act(nanos);
    }

    @Override
    public void observe(BackendServerId server, BackendServerSignal sign) {
        long nanos = enter();
        Optional<BackendServerState> state = mServers.find(server);
        state.ifPresent(found -> mJudge.observe(found, sign, nanos));
        mServers.advance(nanos);
        act(nanos);
    }

    @Override
    public void advance() {
        act(enter());
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
        return mInUse.step(mServers.withheld());
    }

    /** Notes a call, and with it a pause before it; lets time act on the servers. */
    private long enter() {
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

    /** Another admitter may have begun: membership gets as long as the limit to say so. */
    private void pause(long nanos) {
        mPaused = true;
        mPauseEndNanos = nanos + mSettings.pauseLimit().toNanos();
        use(AdmissionShare.FAIR_SHARE, nanos);
        record("admission-paused", "", Duration.ofNanos(nanos - mLastCallNanos).toString());
    }

    private void resume(long nanos) {
        mPaused = false;
        boolean fair = mShare.map(SlotShare::share).equals(Optional.of(AdmissionShare.FAIR_SHARE));
        use(fair ? AdmissionShare.FAIR_SHARE : AdmissionShare.WIDENING, nanos);
    }

    private void act(long nanos) {
        if (!mQueue.isEmpty() && mServers.counts().usable() == 0) {
            refuseAll(nanos);
            return;
        }
        refuseHopeless(null, nanos);
        dispatchWaiting(nanos);
    }

    private void use(AdmissionShare share, long nanos) {
        if (mShare.isEmpty()) {
            return;
        }
        boolean widens = share == AdmissionShare.WIDENING && mInUse != AdmissionShare.WIDENING;
        mInUse = share;
        for (BackendServerState server : mServers.all()) {
            BackendServerSpecification specification = server.specification();
            int fairSlots = mShare.get().fairSlots(specification);
            server.share(share, fairSlots);
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

    private void refuseHopeless(RequestId newest, long nanos) {
        while (!mQueue.isEmpty()) {
            SlotCounts counts = mServers.counts();
            Optional<RequestHead> victim =
                    mOverloadCheck.firstVictim(mQueue, newest, counts, nanos);
            if (victim.isEmpty()) {
                return;
            }
            mQueue.remove(victim.get().id());
            refuse(victim.get(), noCapacity(victim.get(), counts, nanos));
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
