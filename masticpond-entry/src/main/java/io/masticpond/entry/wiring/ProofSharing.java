package io.masticpond.entry.wiring;

import io.masticpond.core.freshness.FreshnessProof;
import io.masticpond.core.freshness.FreshnessTracker;
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
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Keeps the proof that the workspaces and keys known here are the newest: one instance of a region
 * reads the store for all, the others ask it. Control thread, but for what the request path gets.
 */
@Singleton
final class ProofSharing {

    private static final long LOOK_MILLIS = 300;

    /** The first of the region's order, which are asked in turn. */
    private static final int ASKED_NEAR = 2;

    /** Instances of any region that are asked besides, when the near ones have no proof. */
    private static final int ASKED_FAR = 2;

    /** Asks that may still be answered; later answers tell nothing. */
    private static final int MAXIMUM_OPEN_REQUESTS = 32;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final FleetReplica mReplica;
    private final RoutingReader mReader;
    private final PeerInstance mSelf;
    private final DecisionLog mLog;
    private final long mLimitNanos;
    private final FreshnessTracker mKeeper = new FreshnessTracker();
    private final Map<Long, Moment> mRequests = new LinkedHashMap<>();
    private List<PeerInstance> mAlive = List.of();
    private List<PeerInstance> mOrder = List.of();
    private long mNumber;
    private long mTurn;
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
        mSelf = self;
        mLog = log;
        mLimitNanos = settings.workspaces().proofLimit().toNanos();
    }

    /** Begins to prove, to ask and to answer. */
    void start() {
        mPeers.registerReceiver(
                ProofCodec.VERSION,
                (sender, content) ->
                        ProofCodec.read(content)
                                .ifPresent(
                                        message -> {
                                            if (message instanceof ProofCodec.Request ask) {
                                                mPeers.sendDatagram(
                                                        sender, out -> answer(ask, out));
                                            } else {
                                                received((ProofCodec.Answer) message);
                                            }
                                        }));
        mReader.setProofListener(this::take);
        mControl.scheduleWithFixedDelay(
                this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void answer(ProofCodec.Request ask, ByteBuf out) {
        FreshnessProof proof = mKeeper.youngestProof().orElse(null);
        long age = proof == null ? Integer.MAX_VALUE : proof.ageNanos(now());
        ProofCodec.write(
                new ProofCodec.Answer(
                        ask.number(),
                        TimeUnit.NANOSECONDS.toMillis(age) + 1,
                        proof == null ? 0 : proof.revision()),
                out);
    }

    private void received(ProofCodec.Answer answer) {
        Moment asked = mRequests.remove(answer.number());
        if (asked != null && answer.revision() > 0) {
            long age = TimeUnit.MILLISECONDS.toNanos(answer.ageMillis());
            take(new FreshnessProof(asked.minusNanos(age), answer.revision()));
        }
    }

    private void take(FreshnessProof proof) {
        mKeeper.addProof(proof, now());
        reportProof();
    }

    private void look() {
        boolean needed =
                mReplica.snapshot()
                        .routing()
                        .filter(routing -> !routing.workspaces().isEmpty())
                        .isPresent();
        if (!needed) {
            return;
        }
        Moment now = now();
        order();
        int rank = rank();
        if (!mReading && mKeeper.mustReadStore(rank, now)) {
            mReading = true;
            mReader.read(isRead -> mReading = false);
        }
        request(rank, now);
        reportProof();
    }

    private int rank() {
        for (int rank = 0; rank < mOrder.size(); rank++) {
            if (mOrder.get(rank).id().equals(mSelf.id())) {
                return rank;
            }
        }
        return mOrder.size();
    }

    private void order() {
        List<PeerInstance> alive = mPeers.alive();
        if (alive == mAlive) {
            return;
        }
        mAlive = alive;
        List<PeerInstance> inRegion =
                alive.stream().filter(each -> each.region().equals(mSelf.region())).toList();
        mOrder = PeerOrder.of("proof/" + mSelf.region().value(), inRegion);
    }

    private void request(int rank, Moment now) {
        List<PeerInstance> asked = new ArrayList<>();
        if (rank != 0 && !mOrder.isEmpty() && mKeeper.mustQueryRegion(now)) {
            asked.add(mOrder.get((int) (mNumber % Math.min(ASKED_NEAR, mOrder.size()))));
        }
        if (mKeeper.mustQueryOtherRegions(now)) {
            for (int i = 0; i < ASKED_FAR && !mAlive.isEmpty(); i++) {
                asked.add(mAlive.get((int) Math.floorMod(mTurn++, (long) mAlive.size())));
            }
        }
        if (asked.isEmpty()) {
            return;
        }
        long number = mNumber++;
        mRequests.put(number, now);
        if (mRequests.size() > MAXIMUM_OPEN_REQUESTS) {
            mRequests.remove(mRequests.keySet().iterator().next());
        }
        mPeers.sendDatagram(asked, out -> ProofCodec.write(new ProofCodec.Request(number), out));
    }

    /** Tells the request path of a new proof; the snapshot that it proves is there before it. */
    private void reportProof() {
        Moment now = now();
        mKeeper.onRevisionApplied(mReader.revisionInForce(), now);
        Moment proof = mKeeper.youngestProof().map(FreshnessProof::moment).orElse(null);
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
