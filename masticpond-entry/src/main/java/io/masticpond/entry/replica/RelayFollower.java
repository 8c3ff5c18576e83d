package io.masticpond.entry.replica;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.protocol.generated.relay.RelayAnswer;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Follower that receives the changes of the store from the watchers of this availability zone, so
 * that this instance need not watch the store.
 *
 * <p>A request is held at each watcher at the same time, so that the failure of one causes no
 * delay. When no healthy watcher is left, this instance watches by itself at once. Confined to the
 * control thread.
 */
final class RelayFollower {

    private static final Logger sLogger = LoggerFactory.getLogger(RelayFollower.class);

    private final WatcherSelector mSelector;
    private final RelayLink mLink;
    private final RelayedCopies mCopies;
    private final ReplicaContext mContext;
    private final ReplicaSettings.Watching mSettings;
    private final BooleanSupplier mMayFollow;
    private final Runnable mApplied;
    private final Runnable mFollowingChanged;
    private final Map<ServerAddress, WatcherPoller> mPollers = new HashMap<>();
    private boolean mFollowing;
    private long mOwnWatchUntilNanos;
    private Runnable mTimer = () -> {};

    /**
     * Creates a follower that does not rely on any watcher yet.
     *
     * @param context the clocks and times
     * @param zone selects the watchers
     * @param link the link for the requests
     * @param copies the copies to which the answers are applied
     * @param mayFollow returns whether the store answers this instance reliably, so that it may
     *     stop watching the store
     * @param applied runs after an answer was applied to the copies
     * @param followingChanged runs when this instance has started or stopped relying on the
     *     watchers
     */
    RelayFollower(
            ReplicaContext context,
            WatcherSelector zone,
            RelayLink link,
            RelayedCopies copies,
            BooleanSupplier mayFollow,
            Runnable applied,
            Runnable followingChanged) {
        mContext = context;
        mSelector = zone;
        mLink = link;
        mCopies = copies;
        mSettings = context.settings().watching();
        mMayFollow = mayFollow;
        mApplied = applied;
        mFollowingChanged = followingChanged;
        mOwnWatchUntilNanos = context.time().monotonicNanos();
    }

    /** Returns whether this instance relies on the watchers and makes no calls to the store. */
    boolean isFollowing() {
        return mFollowing;
    }

    /** Starts periodic checks of the zone. */
    void start() {
        checkWatchers();
    }

    /** Stops querying watchers; whether this instance relies on them does not change. */
    void stop() {
        mTimer.run();
        mPollers.clear();
    }

    /** Watches by itself for a while, since the answers of the watchers are uncertain. */
    void suspend() {
        mOwnWatchUntilNanos = mContext.time().monotonicNanos() + mSettings.ownWatchFor().toNanos();
        setFollowing(false);
    }

    private void checkWatchers() {
        mTimer.run();
        mTimer = mContext.scheduler().schedule(mSettings.checkEvery(), this::checkWatchers);
        List<ServerAddress> wanted =
                mSelector.watchers(mSettings.watchersInZone()).stream()
                        .map(RelayMember::address)
                        .toList();
        mPollers.keySet().retainAll(wanted);
        for (ServerAddress address : wanted) {
            if (!mPollers.containsKey(address)) {
                WatcherPoller poller = new WatcherPoller(address);
                mPollers.put(address, poller);
                poller.poll();
            }
        }
        update();
    }

    private void update() {
        boolean hasHealthy = mPollers.values().stream().anyMatch(poller -> poller.mHealthy);
        boolean areHealthy =
                hasHealthy && mPollers.values().stream().allMatch(poller -> poller.mHealthy);
        if (mFollowing && mPollers.isEmpty()) {
            setFollowing(false);
        } else if (mFollowing && !hasHealthy) {
            suspend();
        } else if (!mFollowing && areHealthy && mMayFollow.getAsBoolean()) {
            boolean isOver = mContext.time().monotonicNanos() - mOwnWatchUntilNanos >= 0;
            setFollowing(isOver);
        }
    }

    private void setFollowing(boolean following) {
        if (mFollowing != following) {
            mFollowing = following;
            sLogger.info(
                    "STORE  {}",
                    following
                            ? "watched by other instances of the zone"
                            : "watched by this instance");
            mFollowingChanged.run();
        }
    }

    /** Poller of one watcher, with one request at a time. */
    private final class WatcherPoller {

        private final ServerAddress mAddress;
        private boolean mHealthy;

        WatcherPoller(ServerAddress address) {
            mAddress = address;
        }

        private boolean isWanted() {
            return mPollers.get(mAddress) == this;
        }

        void poll() {
            if (!isWanted()) {
                return;
            }
            // The first request only checks whether the watcher is healthy.
            Duration hold = mHealthy ? mSettings.hold() : Duration.ofMillis(1);
            long startNanos = mContext.time().monotonicNanos();
            mLink.request(
                    mAddress,
                    mCopies.buildRequest(hold),
                    hold.plus(mSettings.margin()),
                    result -> handleAnswer(startNanos, result));
        }

        private void handleAnswer(long startNanos, Either<String, RelayAnswer> result) {
            if (!isWanted()) {
                return;
            }
            long knownRevision = mCopies.knownRevision();
            boolean isApplied = result.isRight() && mCopies.apply(result.get()).isEmpty();
            mHealthy = isApplied && result.get().getWatches();
            if (isApplied) {
                mApplied.run();
            }
            boolean isNew = mCopies.knownRevision() > knownRevision;
            long heldNanos = mContext.time().monotonicNanos() - startNanos;
            boolean isEarly = heldNanos < mSettings.checkEvery().toNanos();
            Duration pause = Duration.ZERO;
            if (!mHealthy) {
                pause = mSettings.avoidFor();
            } else if (isEarly && !isNew) {
                // Avoids a busy loop on a watcher that answers early without changes.
                pause = mContext.settings().calls().serverSettle();
            }
            mContext.scheduler().schedule(pause, this::poll);
            update();
        }
    }
}
