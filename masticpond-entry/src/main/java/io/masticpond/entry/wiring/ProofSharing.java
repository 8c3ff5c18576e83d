package io.masticpond.entry.wiring;

import io.masticpond.core.freshness.FreshnessProof;
import io.masticpond.core.freshness.FreshnessTracker;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.RequestRecord;
import io.masticpond.entry.log.ViewChange;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.ProofCodec;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.replica.RoutingReader;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Maintainer of the proof that the workspaces and keys of this instance are the newest ones. One
 * instance of a region reads the store for all, and the others request its proof. Runs on the
 * control thread, except for the proofs that it passes to the request path.
 */
@Singleton
final class ProofSharing {

    private static final long CHECK_PERIOD_MILLIS = 300;

    /**
     * The maximum number of requests that may still be answered; answers to older ones are ignored.
     */
    private static final int MAXIMUM_OPEN_REQUESTS = 32;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final FleetReplica mReplica;
    private final RoutingReader mReader;
    private final ProofTargets mTargets;
    private final DecisionLog mLog;
    private final long mLimitNanos;
    private final FreshnessTracker mFreshness = new FreshnessTracker();
    private final Map<Long, Moment> mRequests = new LinkedHashMap<>();
    private long mNextRequestNumber;
    private boolean mReading;
    private boolean mProven;
    private Moment mReportedProof;

    @Inject
    ProofSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            TimeSource timeSource,
            RequestFlow flow,
            HeartbeatService peers,
            FleetReplica replica,
            PeerInstance self,
            EntrySettings settings,
            DecisionLog log) {
        mTraffic = traffic;
        mControl = control;
        mTimeSource = timeSource;
        mFlow = flow;
        mPeers = peers;
        mReplica = replica;
        mReader = replica.routingReader();
        mTargets = new ProofTargets(self);
        mLog = log;
        mLimitNanos = settings.workspaces().proofLimit().toNanos();
    }

    /**
     * Starts reading proofs from the store, querying other instances and answering their queries.
     */
    void start() {
        mPeers.registerReceiver(
                ProofCodec.VERSION,
                (sender, content) ->
                        ProofCodec.read(content)
                                .ifPresent(
                                        message -> {
                                            if (message instanceof ProofCodec.Request query) {
                                                mPeers.sendDatagram(
                                                        sender, out -> answer(query, out));
                                            } else {
                                                received((ProofCodec.Answer) message);
                                            }
                                        }));
        mReader.setProofListener(this::addProof);
        mControl.scheduleWithFixedDelay(
                this::check, CHECK_PERIOD_MILLIS, CHECK_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answer(ProofCodec.Request query, ByteBuf out) {
        FreshnessProof proof = mFreshness.youngestProof().orElse(null);
        long age = proof == null ? Integer.MAX_VALUE : proof.ageNanos(now());
        ProofCodec.write(
                new ProofCodec.Answer(
                        query.number(),
                        TimeUnit.NANOSECONDS.toMillis(age) + 1,
                        proof == null ? 0 : proof.revision()),
                out);
    }

    private void received(ProofCodec.Answer answer) {
        Moment sent = mRequests.remove(answer.number());
        if (sent != null && answer.revision() > 0) {
            long age = TimeUnit.MILLISECONDS.toNanos(answer.ageMillis());
            addProof(new FreshnessProof(sent.minusNanos(age), answer.revision()));
        }
    }

    private void addProof(FreshnessProof proof) {
        mFreshness.addProof(proof, now());
        reportProof();
    }

    private void check() {
        boolean needed =
                mReplica.snapshot().routing().flatMap(RoutingConfiguration::workspaces).isPresent();
        if (!needed) {
            return;
        }
        Moment now = now();
        mTargets.update(mPeers.alive());
        if (!mReading && mFreshness.mustReadStore(mTargets.rank(), now)) {
            mReading = true;
            mReader.read(isRead -> mReading = false);
        }
        sendRequest(now);
        reportProof();
    }

    private void sendRequest(Moment now) {
        List<PeerInstance> targets = mTargets.select(mFreshness, now);
        if (targets.isEmpty()) {
            return;
        }
        long number = mNextRequestNumber++;
        mRequests.put(number, now);
        if (mRequests.size() > MAXIMUM_OPEN_REQUESTS) {
            mRequests.remove(mRequests.keySet().iterator().next());
        }
        mPeers.sendDatagram(targets, out -> ProofCodec.write(new ProofCodec.Request(number), out));
    }

    /** Passes a new proof to the request path, which has the snapshot that it proves already. */
    private void reportProof() {
        Moment now = now();
        mFreshness.onRevisionApplied(mReader.revisionInForce(), now);
        Moment proof = mFreshness.youngestProof().map(FreshnessProof::moment).orElse(null);
        if (proof != mReportedProof) {
            mReportedProof = proof;
            mTraffic.execute(() -> mFlow.authenticator().recordProof(proof));
        }
        long age = proof == null ? RequestRecord.UNKNOWN : proof.nanosUntil(now);
        boolean isProven = proof != null && age <= mLimitNanos;
        if (isProven != mProven) {
            mProven = isProven;
            mLog.viewChanged(new ViewChange.Proof(isProven, age, mReader.revisionInForce()));
        }
    }

    private Moment now() {
        return Moment.of(mTimeSource);
    }
}
