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
 * Asks peers for what has changed while the store is lost to this instance.
 *
 * <p>A peer that reports more than is known here is asked at once, else one peer now and then; the
 * nearest first. For the control thread.
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
    private int mAsk;
    private boolean mAsking;
    private long mAskedNanos;
    private boolean mActive;
    private Runnable mTimer = () -> {};

    /**
     * Makes a fallback.
     *
     * @param context the clocks and times
     * @param peers the peers
     * @param link carries the asks
     * @param copies what the answers are put into
     * @param place the place of this instance
     * @param applied hears that the copies have taken an answer
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

    /** Asks from now on. */
    void start() {
        mActive = true;
        mAskedNanos = mTime.monotonicNanos() - mSettings.pollEvery().toNanos();
        look();
    }

    /** Asks no more; an answer on its way is still taken. */
    void stop() {
        mActive = false;
        mTimer.run();
    }

    private void look() {
        if (!mActive) {
            return;
        }
        mTimer.run();
        mTimer = mScheduler.schedule(mSettings.lookEvery(), this::look);
        if (!mAsking) {
            choose().ifPresent(this::poll);
        }
    }

    private Optional<RelayPeer> choose() {
        long nowNanos = mTime.monotonicNanos();
        mAvoidedUntil.values().removeIf(untilNanos -> nowNanos - untilNanos >= 0);
        List<RelayPeer> peers =
                mPeers.alive().stream()
                        .filter(peer -> !mAvoidedUntil.containsKey(peer.address()))
                        .sorted(mOrder)
                        .toList();
        long known = mCopies.known();
        Optional<RelayPeer> ahead =
                peers.stream().filter(peer -> peer.revision() > known).findFirst();
        boolean isDue = nowNanos - mAskedNanos >= mSettings.pollEvery().toNanos();
        if (ahead.isPresent() || !isDue) {
            return ahead;
        }
        return peers.stream().findFirst();
    }

    private void poll(RelayPeer peer) {
        mAsking = true;
        mAskedNanos = mTime.monotonicNanos();
        int number = ++mAsk;
        mLink.request(
                peer.address(),
                mCopies.buildRequest(Duration.ZERO),
                mSettings.timeout(),
                result -> {
                    if (number == mAsk && mAsking) {
                        mAsking = false;
                        answered(peer, result);
                    }
                });
    }

    private void answered(RelayPeer peer, Either<String, RelayAnswer> result) {
        if (result.isLeft()) {
            avoid(peer, result.getLeft());
            look();
            return;
        }
        long known = mCopies.known();
        mCopies.take(result.get()).ifPresent(fault -> avoid(peer, fault));
        if (mCopies.known() < peer.revision()) {
            // It cannot give now what it reports, for instance since it doubts it itself.
            avoid(peer, "It gave less than it reports.");
        }
        if (mCopies.known() > known) {
            sLogger.info(
                    "STORE  peer {} told of changes up to {}", peer.address(), mCopies.known());
        }
        mApplied.run();
    }

    private void avoid(RelayPeer peer, String reason) {
        sLogger.debug("STORE  peer {} is passed over for a while: {}", peer.address(), reason);
        long untilNanos = mTime.monotonicNanos() + mSettings.avoidFor().toNanos();
        mAvoidedUntil.put(peer.address(), untilNanos);
    }

    /** Where an instance is. */
    record Place(ZoneId zone, RegionId region) {}
}
