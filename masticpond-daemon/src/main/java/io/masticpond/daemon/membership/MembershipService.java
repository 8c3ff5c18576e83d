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
 * Drives membership on a thread of its own: heartbeats, the platform's list, and the published
 * view.
 *
 * <p>When its ring is full a heartbeat is dropped and the next one makes up for it.
 *
 * @since 0.1
 */
public final class MembershipService implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(MembershipService.class);
    private static final int RING_CAPACITY = 4_096;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long LIST_PERIOD_NANOS = Duration.ofSeconds(30).toNanos();
    private static final long LIST_RETRY_NANOS = Duration.ofSeconds(2).toNanos();
    private static final double JITTER = 0.1;

    private final MembershipTable mTable;
    private final InstanceLinks mLinks;
    private final ObjectStore mObjectStore;
    private final HybridLogicalClock mClock;
    private final TimeSource mTimeSource;
    private final MembershipTimings mTimings;
    private final List<String> mSeeds;
    private final UniformRandomProvider mRandom;
    private final EventLoop mDuty;
    private final List<MembershipListener> mListeners = new CopyOnWriteArrayList<>();
    private final List<HeadroomListener> mHeadroomListeners = new CopyOnWriteArrayList<>();
    private final LongAdder mRejected = new LongAdder();
    private volatile Supplier<List<HeadroomEntry>> mHeadroom = List::of;
    private volatile MembershipView mView;
    private boolean mChanged = true;
    private long mNextBeatNanos;
    private long mNextListNanos;
    private long mNextSeedNanos;

    /**
     * Makes a duty that is not started yet.
     *
     * @param self what this instance states about itself
     * @param seeds link addresses to ask while no other instance is known
     * @param timings the times
     * @param links the links
     * @param objectStore the platform
     * @param clock the clock that heartbeats carry
     * @param timeline takes the events
     * @param timeSource the clock of silences
     * @param seed the seed of the jitter
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
        mTimings = Assert.notNull(timings, "The times of membership");
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
                        () -> mHeadroom.get(),
                        this::digest,
                        () -> mChanged = true);
        mTable = new MembershipTable(self, timings, timeSource, sink);
        mView = mTable.view();
        mDuty = new EventLoop("membership", RING_CAPACITY, timeSource);
        mDuty.every(TICK, this::tick);
        long now = timeSource.monotonicNanos();
        mNextBeatNanos = now;
        mNextListNanos = now;
        mNextSeedNanos = now;
    }

    /** Starts to take and send heartbeats. */
    public void start() {
        mLinks.handle(Envelope.BodyCase.HEARTBEAT, this::takeHeartbeat);
        mLinks.addListener(new Listener());
        mDuty.start();
    }

    /**
     * Gives what is known now.
     *
     * @return an immutable view
     */
    public MembershipView view() {
        return mView;
    }

    /**
     * Adds a listener to changes.
     *
     * @param listener the listener
     */
    public void addListener(MembershipListener listener) {
        mListeners.add(Assert.notNull(listener, "A listener to membership"));
    }

    /**
     * Adds a listener to the headroom that heartbeats tell.
     *
     * @param listener the listener
     */
    public void addHeadroomListener(HeadroomListener listener) {
        mHeadroomListeners.add(Assert.notNull(listener, "A listener to headroom"));
    }

    /**
     * Says what heartbeats tell of the headroom of this instance.
     *
     * @param headroom gives the entries; called on the thread of the duty, and must not block
     */
    public void setHeadroomSupplier(Supplier<List<HeadroomEntry>> headroom) {
        mHeadroom = Assert.notNull(headroom, "The headroom");
    }

    /**
     * Takes the configuration in force: its version for heartbeats, its regions for the view.
     *
     * @param configuration the configuration
     */
    public void configure(Configuration configuration) {
        mDuty.offer(
                () -> {
                    mTable.setConfiguration(configuration.version());
                    mTable.setRegions(configuration::regionOf);
                    mChanged = true;
                });
    }

    /**
     * Says whether this instance stops as planned, and tells the others at once.
     *
     * @param leaving whether it does
     */
    public void setLeaving(boolean leaving) {
        mDuty.offer(
                () -> {
                    mTable.setLeaving(leaving);
                    mTable.sendHeartbeats();
                    mChanged = true;
                });
    }

    /**
     * Counts the heartbeats that were dropped because they could not be read or the ring was full.
     *
     * @return the count since the start
     */
    public long rejectedHeartbeats() {
        return mRejected.sum();
    }

    /** Tells the others that this run ends, and stops. */
    @Override
    public void close() {
        mDuty.offer(mTable::announceTermination);
        mDuty.close();
    }

    /** Acts on the time that it is now, besides the ticks; completes once that is done. */
    CompletableFuture<Void> tickNow() {
        CompletableFuture<Void> ticked = new CompletableFuture<>();
        mDuty.put(
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
        if (now - mNextBeatNanos >= 0) {
            mNextBeatNanos = now + jittered(mTimings.heartbeat().toNanos());
            mTable.sendHeartbeats();
        }
        if (now - mNextListNanos >= 0) {
            mNextListNanos = now + jittered(LIST_RETRY_NANOS);
            CompletableFuture<Boolean> unused =
                    mObjectStore.instances().thenApply(list -> mDuty.offer(() -> takeList(list)));
        }
        if (now - mNextSeedNanos >= 0 && mLinks.connected().isEmpty()) {
            mNextSeedNanos = now + jittered(mTimings.heartbeat().toNanos());
            mSeeds.forEach(mLinks::contact);
        }
        publish(paused != mTable.isSelfPaused());
    }

    private long jittered(long nanos) {
        return (long) (nanos * (1 + JITTER * (2 * mRandom.nextDouble() - 1)));
    }

    private void publish(boolean trustChanged) {
        if (!mChanged && !trustChanged) {
            return;
        }
        mChanged = false;
        MembershipView view = mTable.view();
        mView = view;
        mListeners.forEach(listener -> listener.changed(view));
    }

    private void takeList(Either<PlatformError, List<ListedInstance>> list) {
        if (list.isLeft()) {
            sLogger.debug("MEMBER  The list was not read: {}", list.getLeft().message());
            return;
        }
        mNextListNanos = mTimeSource.monotonicNanos() + jittered(LIST_PERIOD_NANOS);
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

    private void takeHeartbeat(InstanceId from, Envelope message, Responder responder) {
        Incarnation peer = responder.peer();
        if (!mDuty.offer(() -> take(peer, message.getHeartbeat()))) {
            mRejected.increment();
        }
    }

    private void take(Incarnation peer, Heartbeat heartbeat) {
        mClock.merge(new HybridTime(Math.max(0, heartbeat.getHybridTime())));
        heartbeat.getAsksList().forEach(ask -> takeAsk(peer, ask));
        if (!heartbeat.hasSelf()) {
            return;
        }
        Optional<MemberUpdate> own = MembershipMessages.toUpdate(heartbeat.getSelf());
        if (own.isEmpty() || !own.get().incarnation().equals(peer)) {
            mRejected.increment();
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

    private void takeAsk(Incarnation peer, MemberAsk ask) {
        MembershipMessages.run(ask)
                .ifPresent(
                        run ->
                                mTable.receiveUpdateRequest(
                                        peer.instance(), run, ask.getSequence()));
    }

    /** Hands over what the links tell. */
    private final class Listener implements LinkListener {

        @Override
        public void connected(Incarnation peer) {
            mDuty.offer(() -> mTable.sendHeartbeat(peer.instance()));
        }

        @Override
        public void disconnected(Incarnation peer) {
            mDuty.offer(() -> mTable.onDisconnected(peer));
        }

        @Override
        public void connectionRefused(InstanceId peer) {
            mDuty.offer(
                    () -> {
                        mTable.onConnectionRefused(peer);
                        publish(true);
                    });
        }
    }
}
