package io.masticpond.daemon.membership;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.membership.ListedMember;
import io.masticpond.core.membership.MemberUpdate;
import io.masticpond.core.membership.MembershipTable;
import io.masticpond.core.membership.MembershipTimings;
import io.masticpond.core.membership.MembershipView;
import io.masticpond.core.membership.OwnState;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.HybridTime;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.instance.InstanceLinks;
import io.masticpond.daemon.instance.LinkListener;
import io.masticpond.daemon.instance.Responder;
import io.masticpond.daemon.instance.SocketAddresses;
import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.daemon.platform.PlatformError;
import io.masticpond.protocol.generated.Envelope;
import io.masticpond.protocol.generated.HeadroomEntry;
import io.masticpond.protocol.generated.Heartbeat;
import io.masticpond.protocol.generated.MemberAsk;
import io.vavr.control.Either;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.LongAdder;
import java.util.function.Supplier;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Service that maintains the membership on an event loop of its own. It exchanges heartbeats, reads
 * the platform's list of instances and publishes the view.
 *
 * <p>When the queue of the event loop is full, a heartbeat is dropped; the next one supersedes it.
 *
 * @since 0.1
 */
public final class MembershipService implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(MembershipService.class);
    private static final int QUEUE_CAPACITY = 4_096;
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final long LIST_PERIOD_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long LIST_RETRY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double JITTER_RATIO = 0.1;

    private final MembershipTable mTable;
    private final InstanceLinks mLinks;
    private final ObjectStore mObjectStore;
    private final HybridLogicalClock mClock;
    private final TimeSource mTimeSource;
    private final MembershipTimings mTimings;
    private final List<String> mSeeds;
    private final UniformRandomProvider mRandom;
    private final EventLoop mEventLoop;
    private final List<MembershipListener> mListeners = new CopyOnWriteArrayList<>();
    private final List<HeadroomListener> mHeadroomListeners = new CopyOnWriteArrayList<>();
    private final LongAdder mRejectedHeartbeats = new LongAdder();
    private volatile Supplier<List<HeadroomEntry>> mHeadroomSupplier = List::of;
    private volatile MembershipView mView;
    private boolean mViewChanged = true;
    private long mNextHeartbeatNanos;
    private long mNextListNanos;
    private long mNextSeedNanos;

    /**
     * Creates a new service that is not started.
     *
     * @param self what this instance states about itself
     * @param seeds link addresses to contact while no other instance is connected
     * @param timings the periods and timeouts of membership
     * @param links the links to other instances
     * @param objectStore the object store of the platform
     * @param clock the clock whose time heartbeats carry
     * @param timeline the timeline that receives the events
     * @param timeSource the clock for the periods and inactivity timeouts
     * @param seed the seed of the jitter of the periods
     */
    public MembershipService(
            OwnState self,
            List<String> seeds,
            MembershipTimings timings,
            InstanceLinks links,
            ObjectStore objectStore,
            HybridLogicalClock clock,
            Timeline timeline,
            TimeSource timeSource,
            long seed) {
        mSeeds = seeds.stream().filter(each -> !each.equals(self.linkAddress())).toList();
        mTimings = Assert.notNull(timings, "The membership timings");
        mLinks = Assert.notNull(links, "The links");
        mObjectStore = Assert.notNull(objectStore, "An object store");
        mClock = Assert.notNull(clock, "A hybrid clock");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mRandom = RandomSource.SPLIT_MIX_64.create(seed);
        LinkedMembershipSink sink =
                new LinkedMembershipSink(
                        links,
                        clock,
                        timeline,
                        () -> mHeadroomSupplier.get(),
                        this::digest,
                        () -> mViewChanged = true);
        mTable = new MembershipTable(self, timings, timeSource, sink);
        mView = mTable.view();
        mEventLoop = new EventLoop("membership", QUEUE_CAPACITY, timeSource);
        mEventLoop.schedulePeriodically(TICK_PERIOD, this::tick);
        long now = timeSource.monotonicNanos();
        mNextHeartbeatNanos = now;
        mNextListNanos = now;
        mNextSeedNanos = now;
    }

    /** Starts receiving and sending heartbeats. */
    public void start() {
        mLinks.setHandler(Envelope.BodyCase.HEARTBEAT, this::onHeartbeat);
        mLinks.addListener(new LinkEventListener());
        mEventLoop.start();
    }

    /**
     * Returns the current view of the membership.
     *
     * @return an immutable view
     */
    public MembershipView view() {
        return mView;
    }

    /**
     * Adds a listener for changes of the membership.
     *
     * @param listener the listener
     */
    public void addListener(MembershipListener listener) {
        mListeners.add(Assert.notNull(listener, "A membership listener"));
    }

    /**
     * Adds a listener for the headroom that heartbeats report.
     *
     * @param listener the listener
     */
    public void addHeadroomListener(HeadroomListener listener) {
        mHeadroomListeners.add(Assert.notNull(listener, "A headroom listener"));
    }

    /**
     * Sets the supplier of the headroom that the heartbeats of this instance report.
     *
     * @param headroomSupplier the supplier of the entries; invoked on the event loop, and must not
     *     block
     */
    public void setHeadroomSupplier(Supplier<List<HeadroomEntry>> headroomSupplier) {
        mHeadroomSupplier = Assert.notNull(headroomSupplier, "A headroom supplier");
    }

    /**
     * Sets the configuration in force. Its version is reported in heartbeats, and its regions are
     * used for the view. Blocks while the queue of the event loop is full.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mEventLoop.put(
                () -> {
                    mTable.setConfiguration(configuration.version());
                    mTable.setRegions(configuration::regionOf);
                    mViewChanged = true;
                });
    }

    /**
     * Sets whether this instance is leaving because of a planned stop, and reports it to the other
     * instances immediately. Blocks while the queue of the event loop is full.
     *
     * @param leaving whether this instance is leaving
     */
    public void setLeaving(boolean leaving) {
        mEventLoop.put(
                () -> {
                    mTable.setLeaving(leaving);
                    mTable.sendHeartbeats();
                    mViewChanged = true;
                });
    }

    /**
     * Returns the number of heartbeats that were dropped because they were invalid or the queue was
     * full.
     *
     * @return the count since the start
     */
    public long rejectedHeartbeats() {
        return mRejectedHeartbeats.sum();
    }

    /**
     * Announces the termination of this incarnation to the other instances, and stops the event
     * loop.
     */
    @Override
    public void close() {
        mEventLoop.put(mTable::announceTermination);
        mEventLoop.close();
    }

    /**
     * Runs an additional tick at the current time. The returned future completes when the tick has
     * run.
     */
    CompletableFuture<Void> tickNow() {
        CompletableFuture<Void> ticked = new CompletableFuture<>();
        mEventLoop.put(
                () -> {
                    tick();
                    ticked.complete(null);
                });
        return ticked;
    }

    private long digest() {
        return mTable.digest();
    }

    private void tick() {
        long now = mTimeSource.monotonicNanos();
        boolean paused = mTable.isSelfPaused();
        mTable.advance();
        if (now - mNextHeartbeatNanos >= 0) {
            mNextHeartbeatNanos = now + withJitter(mTimings.heartbeat().toNanos());
            mTable.sendHeartbeats();
        }
        if (now - mNextListNanos >= 0) {
            mNextListNanos = now + withJitter(LIST_RETRY_NANOS);
            CompletableFuture<Boolean> unused =
                    mObjectStore
                            .instances()
                            .thenApply(list -> mEventLoop.offer(() -> applyList(list)));
        }
        if (now - mNextSeedNanos >= 0 && mLinks.connected().isEmpty()) {
            mNextSeedNanos = now + withJitter(mTimings.heartbeat().toNanos());
            mSeeds.forEach(mLinks::contact);
        }
        publish(paused != mTable.isSelfPaused());
    }

    private long withJitter(long nanos) {
        return (long) (nanos * (1 + JITTER_RATIO * (2 * mRandom.nextDouble() - 1)));
    }

    private void publish(boolean force) {
        if (!mViewChanged && !force) {
            return;
        }
        mViewChanged = false;
        MembershipView view = mTable.view();
        mView = view;
        mListeners.forEach(listener -> listener.changed(view));
    }

    private void applyList(Either<PlatformError, List<ListedInstance>> list) {
        if (list.isLeft()) {
            sLogger.debug(
                    "MEMBER  Failed to read the list of instances: {}", list.getLeft().message());
            return;
        }
        mNextListNanos = mTimeSource.monotonicNanos() + withJitter(LIST_PERIOD_NANOS);
        mTable.updateListedMembers(
                list.get().stream()
                        .filter(entry -> SocketAddresses.isAddress(entry.linkAddress()))
                        .map(
                                entry ->
                                        new ListedMember(
                                                entry.id(),
                                                entry.zone(),
                                                entry.linkAddress(),
                                                entry.leaving()))
                        .toList());
        publish(true);
    }

    private void onHeartbeat(InstanceId from, Envelope message, Responder responder) {
        Incarnation peer = responder.peer();
        if (!mEventLoop.offer(() -> applyHeartbeat(peer, message.getHeartbeat()))) {
            mRejectedHeartbeats.increment();
        }
    }

    private void applyHeartbeat(Incarnation peer, Heartbeat heartbeat) {
        mClock.merge(new HybridTime(Math.max(0, heartbeat.getHybridTime())));
        heartbeat.getAsksList().forEach(query -> applyQuery(peer, query));
        if (!heartbeat.hasSelf()) {
            return;
        }
        Optional<MemberUpdate> own = MembershipMessages.toUpdate(heartbeat.getSelf());
        if (own.isEmpty() || !own.get().incarnation().equals(peer)) {
            mRejectedHeartbeats.increment();
            return;
        }
        mTable.receiveHeartbeat(
                own.get(),
                MembershipMessages.toUpdate(heartbeat.getOthersList()),
                heartbeat.getAll(),
                heartbeat.getDigest());
        if (heartbeat.getHeadroomCount() > 0) {
            mHeadroomListeners.forEach(
                    listener -> listener.onHeadroom(peer.instance(), heartbeat.getHeadroomList()));
        }
        publish(false);
    }

    private void applyQuery(Incarnation peer, MemberAsk query) {
        MembershipMessages.toIncarnation(query)
                .ifPresent(
                        incarnation ->
                                mTable.receiveUpdateRequest(
                                        peer.instance(), incarnation, query.getSequence()));
    }

    /** Listener that passes the events of the links to the event loop. */
    private final class LinkEventListener implements LinkListener {

        @Override
        public void connected(Incarnation peer) {
            mEventLoop.offer(() -> mTable.sendHeartbeat(peer.instance()));
        }

        @Override
        public void disconnected(Incarnation peer) {
            mEventLoop.offer(() -> mTable.onDisconnected(peer));
        }

        @Override
        public void connectionRefused(InstanceId peer) {
            mEventLoop.offer(
                    () -> {
                        mTable.onConnectionRefused(peer);
                        publish(true);
                    });
        }
    }
}
