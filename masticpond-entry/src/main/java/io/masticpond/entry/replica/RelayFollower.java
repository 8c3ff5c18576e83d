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
 * Hears the changes of the store from the watchers of this availability zone, so that this instance
 * need not watch it.
 *
 * <p>An ask is held at each watcher at the same time, so that the failure of one delays nothing.
 * When none is left that watches and answers, this instance watches by itself at once. For the
 * control thread.
 */
final class RelayFollower {

    private static final Logger sLogger = LoggerFactory.getLogger(RelayFollower.class);

    private final WatcherSelector mZone;
    private final RelayLink mLink;
    private final RelayedCopies mCopies;
    private final ReplicaContext mContext;
    private final ReplicaSettings.Watching mSettings;
    private final BooleanSupplier mMayFollow;
    private final Runnable mApplied;
    private final Runnable mTurned;
    private final Map<ServerAddress, WatcherPoller> mLines = new HashMap<>();
    private boolean mFollowing;
    private long mOwnUntilNanos;
    private Runnable mTimer = () -> {};

    /**
     * Makes a follower that does not rely on anybody yet.
     *
     * @param context the clocks and times
     * @param zone says who watches
     * @param link carries the asks
     * @param copies what the answers are put into
     * @param mayRely tells whether this instance is served well by the store, so that it may stop
     *     asking it
     * @param applied hears that the copies have taken an answer
     * @param turned hears that this instance has begun or ceased to rely on the watchers
     */
    RelayFollower(
            ReplicaContext context,
            WatcherSelector zone,
            RelayLink link,
            RelayedCopies copies,
            BooleanSupplier mayRely,
            Runnable applied,
            Runnable turned) {
        mContext = context;
        mZone = zone;
        mLink = link;
        mCopies = copies;
        mSettings = context.settings().watching();
        mMayFollow = mayRely;
        mApplied = applied;
        mTurned = turned;
        mOwnUntilNanos = context.time().monotonicNanos();
    }

    /** Tells whether this instance relies on the watchers and asks the store nothing. */
    boolean isFollowing() {
        return mFollowing;
    }

    /** Looks at the zone now and then from now on. */
    void start() {
        look();
    }

    /** Asks nobody any more; what this instance relies on stays as it is. */
    void stop() {
        mTimer.run();
        mLines.clear();
    }

    /** Watches by itself for a while, since what the watchers tell is in doubt. */
    void suspend() {
        mOwnUntilNanos = mContext.time().monotonicNanos() + mSettings.ownWatchFor().toNanos();
        turn(false);
    }

    private void look() {
        mTimer.run();
        mTimer = mContext.scheduler().schedule(mSettings.lookEvery(), this::look);
        List<ServerAddress> wanted =
                mZone.watchers(mSettings.watchersInZone()).stream()
                        .map(RelayMember::address)
                        .toList();
        mLines.keySet().retainAll(wanted);
        for (ServerAddress address : wanted) {
            if (!mLines.containsKey(address)) {
                WatcherPoller line = new WatcherPoller(address);
                mLines.put(address, line);
                line.poll();
            }
        }
        settle();
    }

    private void settle() {
        boolean hasSound = mLines.values().stream().anyMatch(line -> line.mSound);
        boolean areSound = hasSound && mLines.values().stream().allMatch(line -> line.mSound);
        if (mFollowing && mLines.isEmpty()) {
            turn(false);
        } else if (mFollowing && !hasSound) {
            suspend();
        } else if (!mFollowing && areSound && mMayFollow.getAsBoolean()) {
            boolean isOver = mContext.time().monotonicNanos() - mOwnUntilNanos >= 0;
            turn(isOver);
        }
    }

    private void turn(boolean relies) {
        if (mFollowing != relies) {
            mFollowing = relies;
            sLogger.info("STORE  {}", relies ? "watched by others of the zone" : "watched here");
            mTurned.run();
        }
    }

    /** The asks of one watcher, one at a time. */
    private final class WatcherPoller {

        private final ServerAddress mAddress;
        private boolean mSound;

        WatcherPoller(ServerAddress address) {
            mAddress = address;
        }

        private boolean isWanted() {
            return mLines.get(mAddress) == this;
        }

        void poll() {
            if (!isWanted()) {
                return;
            }
            // The first ask only shows whether the watcher is sound.
            Duration hold = mSound ? mSettings.hold() : Duration.ofMillis(1);
            long startNanos = mContext.time().monotonicNanos();
            mLink.request(
                    mAddress,
                    mCopies.buildRequest(hold),
                    hold.plus(mSettings.margin()),
                    result -> answered(startNanos, result));
        }

        private void answered(long startNanos, Either<String, RelayAnswer> result) {
            if (!isWanted()) {
                return;
            }
            long known = mCopies.known();
            boolean isTaken = result.isRight() && mCopies.take(result.get()).isEmpty();
            mSound = isTaken && result.get().getWatches();
            if (isTaken) {
                mApplied.run();
            }
            boolean isNew = mCopies.known() > known;
            long heldNanos = mContext.time().monotonicNanos() - startNanos;
            boolean isEarly = heldNanos < mSettings.lookEvery().toNanos();
            Duration pause = Duration.ZERO;
            if (!mSound) {
                pause = mSettings.avoidFor();
            } else if (isEarly && !isNew) {
                // A watcher that answers without news must not be asked without a pause.
                pause = mContext.settings().calls().serverSettle();
            }
            mContext.scheduler().schedule(pause, this::poll);
            settle();
        }
    }
}
