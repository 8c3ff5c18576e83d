package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Fallback that requests changes from peers while this instance cannot reach the store.
 *
 * <p>A peer that reports a newer revision is queried at once, otherwise one peer at intervals; the
 * nearest first. Confined to the control thread.
 */
final class RelayFallback {

    private static final Logger sLogger = LoggerFactory.getLogger(RelayFallback.class);

    private final PeerRevisions mPeers;
    private final RelayLink mLink;
    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReplicaSettings.Relay mSettings;
    private final RelayedCopies mCopies;
    private final Runnable mApplied;
    private final Comparator<RelayPeer> mOrder;
    private final Map<ServerAddress, Long> mAvoidedUntil = new HashMap<>();
    private int mRequestNumber;
    private boolean mRequestPending;
    private long mLastRequestNanos;
    private boolean mActive;
    private Runnable mTimer = () -> {};

    /**
     * Creates a fallback.
     *
     * @param context the clocks and times
     * @param peers the peers
     * @param link the link for the requests
     * @param copies the copies to which the answers are applied
     * @param place the place of this instance
     * @param applied runs after an answer was applied to the copies
     */
    RelayFallback(
            ReplicaContext context,
            PeerRevisions peers,
            RelayLink link,
            RelayedCopies copies,
            Place place,
            Runnable applied) {
        mPeers = peers;
        mLink = link;
        mScheduler = context.scheduler();
        mTime = context.time();
        mSettings = context.settings().relay();
        mCopies = copies;
        mApplied = applied;
        mOrder =
                Comparator.comparing((RelayPeer peer) -> !peer.zone().equals(place.zone()))
                        .thenComparing(peer -> !peer.region().equals(place.region()))
                        .thenComparing(RelayPeer::revision, Comparator.reverseOrder());
    }

    /** Starts querying peers. */
    void start() {
        mActive = true;
        mLastRequestNanos = mTime.monotonicNanos() - mSettings.pollEvery().toNanos();
        checkPeers();
    }

    /** Stops querying peers; the answer to a pending request is still applied. */
    void stop() {
        mActive = false;
        mTimer.run();
    }

    private void checkPeers() {
        if (!mActive) {
            return;
        }
        mTimer.run();
        mTimer = mScheduler.schedule(mSettings.checkEvery(), this::checkPeers);
        if (!mRequestPending) {
            selectPeer().ifPresent(this::poll);
        }
    }

    private Optional<RelayPeer> selectPeer() {
        long nowNanos = mTime.monotonicNanos();
        mAvoidedUntil.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
        List<RelayPeer> peers =
                mPeers.alive().stream()
                        .filter(peer -> !mAvoidedUntil.containsKey(peer.address()))
                        .sorted(mOrder)
                        .toList();
        long knownRevision = mCopies.knownRevision();
        Optional<RelayPeer> ahead =
                peers.stream().filter(peer -> peer.revision() > knownRevision).findFirst();
        boolean isDue = nowNanos - mLastRequestNanos >= mSettings.pollEvery().toNanos();
        if (ahead.isPresent() || !isDue) {
            return ahead;
        }
        return peers.stream().findFirst();
    }

    private void poll(RelayPeer peer) {
        mRequestPending = true;
        mLastRequestNanos = mTime.monotonicNanos();
        int number = ++mRequestNumber;
        mLink.request(
                peer.address(),
                mCopies.buildRequest(Duration.ZERO),
                mSettings.timeout(),
                result -> {
                    if (number == mRequestNumber && mRequestPending) {
                        mRequestPending = false;
                        handleAnswer(peer, result);
                    }
                });
    }

    private void handleAnswer(RelayPeer peer, Either<String, RelayAnswer> result) {
        if (result.isLeft()) {
            avoid(peer, result.getLeft());
            checkPeers();
            return;
        }
        long knownRevision = mCopies.knownRevision();
        mCopies.apply(result.get()).ifPresent(error -> avoid(peer, error));
        if (mCopies.knownRevision() < peer.revision()) {
            // It cannot send what it reports now, for instance since its own entries are uncertain.
            avoid(peer, "The answer is older than the reported revision.");
        }
        if (mCopies.knownRevision() > knownRevision) {
            sLogger.info(
                    "STORE  received changes from peer {} up to revision {}",
                    peer.address(),
                    mCopies.knownRevision());
        }
        mApplied.run();
    }

    private void avoid(RelayPeer peer, String reason) {
        sLogger.debug("STORE  avoiding peer {} for a while: {}", peer.address(), reason);
        long untilNanos = mTime.monotonicNanos() + mSettings.avoidFor().toNanos();
        mAvoidedUntil.put(peer.address(), untilNanos);
    }

    /** Location of an instance. */
    record Place(ZoneId zone, RegionId region) {}
}
