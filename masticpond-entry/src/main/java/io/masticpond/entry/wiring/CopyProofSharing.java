package io.masticpond.entry.wiring;

import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.CopyProofCodec;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.replica.Category;
import io.masticpond.entry.replica.CopyProof;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.replica.ProofPeers;
import io.masticpond.entry.replica.WatchVerifier;
import io.netty.buffer.ByteBuf;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Exchange of the proofs that the copies of the store miss no change. One instance reads the store
 * for all, and the others request its proofs. Confined to the control thread.
 */
@Singleton
final class CopyProofSharing implements ProofPeers {

    /**
     * The maximum number of requests that may still be answered; answers to older ones are ignored.
     */
    private static final int MAXIMUM_OPEN_REQUESTS = 32;

    private final TimeSource mTimeSource;
    private final HeartbeatService mPeers;
    private final WatchVerifier mVerifier;
    private final CopyProofTargets mTargets;
    private final Map<Long, Moment> mRequests = new LinkedHashMap<>();
    private long mNextRequestNumber;

    @Inject
    CopyProofSharing(
            TimeSource timeSource,
            HeartbeatService peers,
            FleetReplica replica,
            PeerInstance self) {
        mTimeSource = timeSource;
        mPeers = peers;
        mTargets = new CopyProofTargets(self);
        mVerifier = replica.verifyWatches(this);
    }

    /** Starts to answer the requests of other instances. */
    void start() {
        mPeers.registerReceiver(
                CopyProofCodec.VERSION,
                (sender, content) ->
                        CopyProofCodec.read(content)
                                .ifPresent(
                                        message -> {
                                            if (message instanceof CopyProofCodec.Request query) {
                                                mPeers.sendDatagram(
                                                        sender, out -> answer(query, out));
                                            } else {
                                                received((CopyProofCodec.Answer) message);
                                            }
                                        }));
    }

    @Override
    public int rank() {
        mTargets.update(mPeers.alive(), mPeers.suspects());
        return mTargets.rank();
    }

    @Override
    public void request(int attempt) {
        mTargets.update(mPeers.alive(), mPeers.suspects());
        Optional<PeerInstance> target = mTargets.target(attempt);
        if (target.isEmpty()) {
            return;
        }
        long number = mNextRequestNumber++;
        mRequests.put(number, Moment.of(mTimeSource));
        if (mRequests.size() > MAXIMUM_OPEN_REQUESTS) {
            mRequests.remove(mRequests.keySet().iterator().next());
        }
        mPeers.sendDatagram(
                List.of(target.get()),
                out -> CopyProofCodec.write(new CopyProofCodec.Request(number), out));
    }

    private void answer(CopyProofCodec.Request query, ByteBuf out) {
        List<CopyProofCodec.Proof> proofs =
                mVerifier.proofs().stream()
                        .map(
                                proof ->
                                        new CopyProofCodec.Proof(
                                                proof.category().ordinal(),
                                                proof.age().toMillis() + 1,
                                                proof.revision()))
                        .toList();
        CopyProofCodec.write(new CopyProofCodec.Answer(query.number(), proofs), out);
    }

    private void received(CopyProofCodec.Answer answer) {
        Moment sent = mRequests.remove(answer.number());
        if (sent == null) {
            return;
        }
        Category[] categories = Category.values();
        List<CopyProof> proofs =
                answer.proofs().stream()
                        .filter(proof -> proof.kind() < categories.length)
                        .map(
                                proof ->
                                        new CopyProof(
                                                categories[proof.kind()],
                                                Duration.ofMillis(proof.ageMillis()),
                                                proof.revision()))
                        .toList();
        mVerifier.received(sent, proofs);
    }
}
