package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationDistribution;
import io.masticpond.core.configuration.ConfigurationLogLimits;
import io.masticpond.core.configuration.ConfigurationReplica;
import io.masticpond.core.configuration.ConfigurationUpdate;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.core.timeline.TimelinePart;
import io.masticpond.daemon.eventloop.EventLoop;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the configuration of this instance up with the chain: from the platform if this instance
 * watches it, from peers otherwise; tells others of new versions.
 *
 * <p>The duty's thread owns the replica. When its ring is full a message of a peer is dropped; the
 * comparison of versions makes up for it.
 *
 * @since 0.1
 */
public final class ConfigurationService implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(ConfigurationService.class);
    private static final int RING_CAPACITY = 4_096;
    private static final Duration TICK = Duration.ofMillis(100);
    private static final long LOG_BYTES = 64 << 10;
    private static final int RECENT = 4;
    private static final long HIGHEST_LEAD = 10_000;
    private static final long DROP_LOG_PAUSE_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long SEEN_PAUSE_NANOS = Duration.ofSeconds(1).toNanos();

    private final EventLoop mDuty;
    private final EventLoopExecutor mExecutor;
    private final ConfigurationPeers mPeers;
    private final ConfigurationHolder mHolder;
    private final ConfigurationReplica mReplica;
    private final ConfigurationDistribution mAudience;
    private final ConfigurationLogLimits mLimits;
    private final ChainStore mChain;
    private final UpdateCodec mNewsCodec;
    private final PlatformFollower mPlatformFollower;
    private final PeerFollower mPeerFollower;
    private final TimeSource mTimeSource;
    private final Timeline mTimeline;
    private final Deque<Configuration> mRecent = new ArrayDeque<>();
    private final AtomicLong mSeen = new AtomicLong();
    private volatile boolean mReady;
    private long mSeenNotBeforeNanos;
    private long mDropLogNotBeforeNanos;
    private long mDropped;

    /**
     * Makes a duty that is not started yet.
     *
     * @param self this instance
     * @param zone its availability zone
     * @param store the platform's object API
     * @param peers the other instances
     * @param holder takes each version that comes into force
     * @param codec reads and writes documents
     * @param timeSource the clocks
     * @param timeline takes the events
     */
    public ConfigurationService(
            InstanceId self,
            ZoneId zone,
            ObjectStore store,
            ConfigurationPeers peers,
            ConfigurationHolder holder,
            ConfigurationCodec codec,
            TimeSource timeSource,
            Timeline timeline) {
        mPeers = Assert.notNull(peers, "Peers");
        mHolder = Assert.notNull(holder, "A configuration holder");
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mSeenNotBeforeNanos = timeSource.monotonicNanos();
        mDropLogNotBeforeNanos = mSeenNotBeforeNanos;
        mTimeline = Assert.notNull(timeline, "A time line");
        mDuty = new EventLoop("configuration", RING_CAPACITY, timeSource);
        mExecutor = new EventLoopExecutor(mDuty);
        mAudience = new ConfigurationDistribution(self, zone);
        mLimits = new ConfigurationLogLimits(LOG_BYTES, change -> codec.encode(change).length);
        mReplica = new ConfigurationReplica(mLimits);
        mChain = new ChainStore(store, codec, mExecutor);
        mNewsCodec = new UpdateCodec(codec);
        mPlatformFollower =
                new PlatformFollower(
                        mChain,
                        mReplica,
                        news -> take("the platform", Optional.empty(), news),
                        mExecutor,
                        timeSource,
                        () -> ThreadLocalRandom.current().nextDouble());
        mPeerFollower =
                new PeerFollower(peers, mReplica, zone, this::takePush, mExecutor, timeSource);
        mDuty.every(TICK, this::tick);
        peers.handle(new PeerHandler());
    }

    /** Starts the thread. */
    public void start() {
        mDuty.start();
    }

    /**
     * Tells whether this instance may serve: it has read the platform, or all its reachable peers
     * have told it what they have.
     *
     * @return whether it is ready
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Takes note that somebody has seen a version; a higher one than ours is looked for.
     *
     * @param version the number of the version, which may be wrong
     */
    public void onVersionSeen(long version) {
        if (version <= mHolder.current().version().number() + HIGHEST_LEAD) {
            mSeen.accumulateAndGet(version, Math::max);
        }
    }

    @Override
    public void close() {
        mDuty.close();
    }

    EventLoopExecutor executor() {
        return mExecutor;
    }

    ChainStore chain() {
        return mChain;
    }

    ConfigurationLogLimits limits() {
        return mLimits;
    }

    /** Gives a version that was in force here lately; only the duty's thread may call it. */
    Optional<Configuration> recent(ConfigurationVersion version) {
        return mRecent.stream()
                .filter(configuration -> configuration.version().equals(version))
                .findFirst();
    }

    /** Gives what is in force; only the duty's thread may call it. */
    Configuration known() {
        return mReplica.current();
    }

    /** Brings a version that this instance has just accepted into force; on the duty's thread. */
    void caughtUp(Configuration configuration, ConfigurationUpdate news) {
        if (configuration.version().isAfter(mReplica.current().version())) {
            take("a confirmation", Optional.empty(), news);
        }
    }

    private void tick() {
        mPeerFollower.follow();
        if (!mReady) {
            becomeReady();
            return;
        }
        if (mAudience.isWatcher(mPeers.members())) {
            mPlatformFollower.watch();
        }
        lookForSeen();
    }

    private void becomeReady() {
        mPlatformFollower.read();
        mPeerFollower.queryNext();
        boolean fromPeers =
                mPeerFollower.allAnswered()
                        && mReplica.current().version().isAfter(ConfigurationVersion.NONE);
        if (mPlatformFollower.wasReached() || fromPeers) {
            mReady = true;
            sLogger.info(
                    "CONFIG  Ready with version {} from {}.",
                    mReplica.current().version(),
                    mPlatformFollower.wasReached() ? "the platform" : "peers");
        }
    }

    /** A version that no member is known to have may still stand at the platform. */
    private void lookForSeen() {
        long now = mTimeSource.monotonicNanos();
        boolean behind = mSeen.get() > mReplica.current().version().number();
        if (behind && now - mSeenNotBeforeNanos >= 0) {
            mSeenNotBeforeNanos = now + SEEN_PAUSE_NANOS;
            mPlatformFollower.read();
            mPeerFollower.follow();
            mSeen.set(0);
        }
    }

    private void takePush(InstanceId from, ConfigurationPush push) {
        if (push.getVersion() <= mReplica.current().version().number()) {
            return;
        }
        mNewsCodec
                .decode(push)
                .peek(news -> take("instance " + from, Optional.of(from), news))
                .peekLeft(message -> logDropped(from, message));
    }

    /** A peer that has gone wrong must not fill the log. */
    private void logDropped(InstanceId from, String message) {
        mDropped++;
        long now = mTimeSource.monotonicNanos();
        if (now - mDropLogNotBeforeNanos >= 0) {
            mDropLogNotBeforeNanos = now + DROP_LOG_PAUSE_NANOS;
            sLogger.warn(
                    "CONFIG  A message of instance {} was dropped, {} so far: {}",
                    from,
                    mDropped,
                    message);
        }
    }

    private void take(String source, Optional<InstanceId> from, ConfigurationUpdate news) {
        Configuration before = mReplica.current();
        ConfigurationReplica.ApplyResult taken = mReplica.apply(news);
        Configuration after = mReplica.current();
        if (after.version().isAfter(before.version())) {
            mHolder.offer(after);
            mRecent.addLast(before);
            if (mRecent.size() > RECENT) {
                mRecent.removeFirst();
            }
            sLogger.info("CONFIG  Version {} from {} is in force.", after.version(), source);
            mTimeline.record(
                    TimelinePart.CONFIG,
                    "version-in-force",
                    "",
                    after.version().toString(),
                    "from " + source);
            tell(before.version(), after.version(), from);
        }
        if (taken == ConfigurationReplica.ApplyResult.GAP) {
            from.ifPresent(mPeerFollower::fetchFrom);
        }
    }

    /** Only one who watches tells, or one who has it not from a peer: it confirmed it itself. */
    private void tell(
            ConfigurationVersion before, ConfigurationVersion after, Optional<InstanceId> from) {
        Collection<Member> members = mPeers.members();
        if (from.isPresent() && !mAudience.isWatcher(members)) {
            return;
        }
        mReplica.updateSince(before)
                .map(news -> mNewsCodec.encode(after, news))
                .ifPresent(
                        push ->
                                mAudience.recipients(members, after).stream()
                                        .filter(id -> !from.equals(Optional.of(id)))
                                        .forEach(id -> mPeers.push(id, push)));
    }

    private void answer(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer) {
        ConfigurationVersion current = mReplica.current().version();
        long known = Math.max(0, fetch.getKnownVersion());
        answer.accept(
                mReplica.updateSince(new ConfigurationVersion(known))
                        .map(news -> mNewsCodec.encode(current, news))
                        .orElseGet(() -> UpdateCodec.nothingNewer(current)));
    }

    /** Hands messages of peers to the duty. */
    private final class PeerHandler implements ConfigurationPeers.Handler {

        @Override
        public void onPush(InstanceId from, ConfigurationPush push) {
            mDuty.offer(() -> takePush(from, push));
        }

        @Override
        public void onFetch(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer) {
            mDuty.offer(() -> answer(fetch, answer));
        }
    }
}
