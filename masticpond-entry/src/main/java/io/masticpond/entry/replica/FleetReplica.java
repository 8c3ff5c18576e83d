package io.masticpond.entry.replica;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Local replica of the routes, servers and evacuations in the platform's store, kept up to date
 * from the store and, while it is unreachable, from peers.
 *
 * <p>All methods except {@link #snapshot}, {@link #revision} and {@link #isUsable} are confined to
 * the control thread.
 *
 * @since 0.2
 */
public final class FleetReplica implements StoreListener {

    private static final Logger sLogger = LoggerFactory.getLogger(FleetReplica.class);

    private final Scheduler mScheduler;
    private final TimeSource mTime;
    private final ReplicaSettings.Outage mSettings;
    private final SnapshotPublisher mPublisher;
    private final StoreHealth mHealth;
    private final StoreProber mProber;
    private final RoutingTable mRouting;
    private final ServerDocuments mServers;
    private final EvacuationTable mEvacuations = new EvacuationTable();
    private final Map<Category, CategoryCopy> mCopies = new EnumMap<>(Category.class);
    private final List<CategoryFollower> mFollowers = new ArrayList<>();
    private final ReplicaContext mContext;
    private final RelayService mRelayService;
    private final RelayedCopies mRelayed;
    private final RoutingReader mRoutingReader;
    private final WatchVerifier mVerifier;
    private final ExpiryGracePeriod mGracePeriod;
    private Optional<RelayFallback> mFallback = Optional.empty();
    private Optional<PeerLag> mLag = Optional.empty();
    private Optional<RelayFollower> mRelay = Optional.empty();
    private Optional<ProofPeers> mProofPeers = Optional.empty();
    private boolean mLeaving;
    private long mWatchingSinceNanos;
    private final StoreRestoreTracker mRestoreTracker;
    private boolean mStopped;
    private volatile long mRevision;
    private volatile boolean mUsable;

    /**
     * Creates an empty replica.
     *
     * @param context the store, clocks and times
     * @param probe checks whether the store answers
     * @param translator reads the documents
     * @param listener receives each new snapshot, on the control thread
     */
    public FleetReplica(
            ReplicaContext context,
            StoreProbe probe,
            DocumentTranslator translator,
            SnapshotListener listener) {
        mContext = context;
        mScheduler = context.scheduler();
        mTime = context.time();
        mWatchingSinceNanos = mTime.monotonicNanos();
        mSettings = context.settings().outage();
        mHealth = new StoreHealth(mTime, mScheduler, mSettings.lostAfter());
        mProber = new StoreProber(context, probe, mHealth, this::checkLag);
        mRouting = new RoutingTable(translator);
        mServers = new ServerDocuments(translator);
        mPublisher =
                new SnapshotPublisher(
                        context,
                        mRouting,
                        mServers,
                        mEvacuations,
                        Assert.notNull(listener, "A listener"));
        mGracePeriod = new ExpiryGracePeriod(context, mServers, () -> publish(CopySource.NONE));
        mHealth.addListener(this);
        mVerifier =
                new WatchVerifier(
                        context,
                        mHealth,
                        this::onStoreUpdate,
                        this::isFollowing,
                        () -> mRelay.ifPresent(RelayFollower::suspend));
        follow(context, Category.ROUTING, mRouting);
        follow(context, Category.EVACUATIONS, mEvacuations);
        follow(context, Category.BACKEND_SERVERS, mServers);
        mRestoreTracker =
                new StoreRestoreTracker(
                        context, mCopies.values(), mFollowers, () -> publish(CopySource.NONE));
        mRelayService = new RelayService(context, mCopies, mServers, this::isWatching);
        mRoutingReader =
                new RoutingReader(
                        context,
                        mCopies.get(Category.ROUTING),
                        mRouting,
                        mRestoreTracker::isSettled,
                        this::onStoreUpdate);
        mRestoreTracker.addSettledListener(
                (era, settledBeforeStart) -> mRoutingReader.settled(settledBeforeStart));
        mRelayed = new RelayedCopies(mCopies.values(), mTime);
    }

    private void follow(ReplicaContext context, Category category, CopyListener table) {
        CategoryCopy copy = new CategoryCopy(category, table);
        mCopies.put(category, copy);
        SettleTimes settle = SettleTimes.of(category, context.settings().calls(), this::isUrgent);
        Consumer<Moment> listed =
                requested -> {
                    if (category == Category.ROUTING) {
                        mRoutingReader.listed(requested);
                    }
                };
        CategoryFollower follower =
                new CategoryFollower(context, copy, settle, mHealth, this::onStoreUpdate, listed);
        mFollowers.add(follower);
        mVerifier.add(copy, follower);
    }

    /** The report of a new server follows its entry and must not wait for a burst to settle. */
    private boolean isUrgent() {
        Duration within = mContext.settings().calls().serverSettleLimit();
        return mServers.awaitsReport(within, mTime.monotonicNanos());
    }

    /**
     * Adds a listener for store outages, which is notified after the replica itself.
     *
     * @param listener the listener
     */
    public void addStoreListener(StoreListener listener) {
        mHealth.addListener(listener);
    }

    /**
     * Enables peers: their changes while the store is lost, and their revisions to detect a dead
     * watch. Must be called before {@link #start}.
     *
     * @param peers the peers
     * @param client the client for requests to them
     * @param zone the availability zone of this instance
     * @param region its region
     */
    public void usePeers(PeerRevisions peers, RelayClient client, ZoneId zone, RegionId region) {
        usePeers(peers, client, new RelayFallback.Place(zone, region));
    }

    void usePeers(PeerRevisions peers, RelayLink link, RelayFallback.Place place) {
        mFallback =
                Optional.of(
                        new RelayFallback(
                                mContext, peers, link, mRelayed, place, this::onPeerUpdate));
        mLag = Optional.of(new PeerLag(peers));
    }

    /**
     * Shares watching the store within the availability zone. Must be called before {@link #start}.
     *
     * @param zone selects the watchers
     * @param client the client for requests to them
     */
    public void shareWatching(WatcherSelector zone, RelayClient client) {
        shareWatching(zone, (RelayLink) client);
    }

    void shareWatching(WatcherSelector zone, RelayLink link) {
        if (mContext.settings().watching().watchersInZone() > 0) {
            mRelay =
                    Optional.of(
                            new RelayFollower(
                                    mContext,
                                    zone,
                                    link,
                                    mRelayed,
                                    () -> mUsable && !mHealth.isFailing() && !mLeaving,
                                    this::onPeerUpdate,
                                    this::relayModeChanged));
        }
    }

    /**
     * Verifies that the copies miss no change because a watch delivers nothing. Must be called
     * before {@link #start}.
     *
     * @param peers the instances whose proofs are requested
     * @return the verifier, which receives those proofs, confined to the control thread
     */
    public WatchVerifier verifyWatches(ProofPeers peers) {
        mProofPeers = Optional.of(peers);
        return mVerifier;
    }

    /** Notifies the instances that follow this one that it will stop. */
    public void leave() {
        mLeaving = true;
        mRelayService.changed();
    }

    /**
     * Returns the reader that proves that the routing configuration in force is current.
     *
     * @return the reader
     */
    public RoutingReader routingReader() {
        return mRoutingReader;
    }

    RelaySource relaySource() {
        return mRelayService;
    }

    private boolean isWatching() {
        boolean wasAnswered = mHealth.succeededNanos() - mWatchingSinceNanos >= 0;
        return mUsable
                && !mLeaving
                && !mStopped
                && !mHealth.isLost()
                && !isFollowing()
                && wasAnswered;
    }

    private boolean isFollowing() {
        return mRelay.map(RelayFollower::isFollowing).orElse(false);
    }

    private void relayModeChanged() {
        boolean following = isFollowing();
        mProber.setIdle(following);
        mWatchingSinceNanos = mTime.monotonicNanos();
        if (following) {
            mFollowers.forEach(CategoryFollower::pause);
        } else if (!mStopped && !mHealth.isLost()) {
            mFollowers.forEach(CategoryFollower::resume);
        }
        mRelayService.changed();
    }

    /** Starts reading the store. */
    public void start() {
        // Until the store has answered once, it is considered failing.
        mHealth.failed(mTime.monotonicNanos());
        mFollowers.forEach(CategoryFollower::start);
        mProber.start();
        mRelay.ifPresent(RelayFollower::start);
        mProofPeers.ifPresent(mVerifier::start);
    }

    /**
     * Returns the tracker of restores of the store from older copies.
     *
     * @return the tracker, confined to the control thread
     */
    public StoreRestoreTracker restoreTracker() {
        return mRestoreTracker;
    }

    private void checkLag() {
        mRestoreTracker.checkEra();
        long missed = mLag.map(lag -> lag.compare(mRevision)).orElse(0L);
        if (missed == 0) {
            return;
        }
        sLogger.info("STORE  a peer reports revision {}, checking from {}", missed, mRevision);
        mRelay.filter(RelayFollower::isFollowing).ifPresent(RelayFollower::suspend);
        for (CategoryFollower follower : mFollowers) {
            follower.check(missed);
        }
    }

    /** Stops all calls; the snapshot stays as it is. */
    public void stop() {
        mStopped = true;
        mPublisher.stop();
        mFollowers.forEach(CategoryFollower::pause);
        mProber.stop();
        mVerifier.stop();
        mRelay.ifPresent(RelayFollower::stop);
        mRelayService.changed();
        mFallback.ifPresent(RelayFallback::stop);
        mGracePeriod.stop();
        mRestoreTracker.stop();
    }

    /**
     * Returns the newest snapshot. Thread-safe.
     *
     * @return the snapshot
     */
    public FleetSnapshot snapshot() {
        return mPublisher.snapshot();
    }

    /**
     * Returns the revision of the newest known change, which is reported to peers. Thread-safe.
     *
     * @return the revision, 0 before anything is known
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns whether requests can be routed: the routes and the servers have been read once.
     * Thread-safe.
     *
     * @return whether requests can be routed
     */
    public boolean isUsable() {
        return mUsable;
    }

    /**
     * Returns how current the replica is.
     *
     * @return the status
     */
    public ReplicaStatus status() {
        Moment now = Moment.of(mTime);
        long nowNanos = now.monotonicNanos();
        List<CategoryStatus> categories =
                mCopies.values().stream().map(copy -> copy.status(now)).toList();
        return new ReplicaStatus(
                mUsable,
                mHealth.isLost(),
                Duration.ofNanos(nowNanos - mHealth.sinceNanos()),
                mServers.unconfirmed(),
                mServers.unreadable().held(),
                mServers.unreadable().seen(),
                mFollowers.stream().mapToLong(CategoryFollower::givenUpCount).sum(),
                categories);
    }

    @Override
    public void storeLost() {
        if (mStopped) {
            return;
        }
        mRelay.ifPresent(RelayFollower::suspend);
        mFollowers.forEach(CategoryFollower::pause);
        mRelayService.changed();
        mGracePeriod.storeLost();
        mProber.probeNow();
        mFallback.ifPresent(RelayFallback::start);
    }

    @Override
    public void storeRegained(Duration outage) {
        if (mStopped) {
            return;
        }
        mFallback.ifPresent(RelayFallback::stop);
        mGracePeriod.storeRegained(outage);
        mFollowers.forEach(CategoryFollower::resume);
    }

    private void onStoreUpdate() {
        publish(CopySource.STORE);
    }

    private void onPeerUpdate() {
        publish(CopySource.PEER);
    }

    private void publish(CopySource source) {
        long nowNanos = mTime.monotonicNanos();
        long revision = mRevision;
        for (CategoryCopy copy : mCopies.values()) {
            copy.forgetTombstones(nowNanos - mSettings.tombstoneKept().toNanos());
            revision = Math.max(revision, copy.contentRevision());
        }
        mRevision = revision;
        mUsable |=
                mRouting.routing().isPresent() && mCopies.get(Category.BACKEND_SERVERS).isListed();
        mPublisher.publishIfChanged(source, revision);
        mRelayService.changed();
        mRestoreTracker.checkEra();
    }
}
