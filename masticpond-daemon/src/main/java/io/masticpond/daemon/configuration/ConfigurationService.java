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
 * Service that keeps the configuration of this instance up to date with the chain: from the
 * platform if this instance watches it, from peers otherwise. It distributes new versions to other
 * instances.
 *
 * <p>The replica is confined to the thread of the service's event loop. When the queue of the event
 * loop is full, a message of a peer is dropped; the loss is repaired by the comparison of versions
 * with those that peers report.
 *
 * @since 0.1
 */
public final class ConfigurationService implements AutoCloseable {

    private static final Logger sLogger = LoggerFactory.getLogger(ConfigurationService.class);
    private static final int QUEUE_CAPACITY = 4_096;
    private static final Duration TICK_PERIOD = Duration.ofMillis(100);
    private static final long MAXIMUM_LOG_BYTES = 64 << 10;
    private static final int MAXIMUM_RECENT_VERSIONS = 4;
    private static final long MAXIMUM_VERSION_LEAD = 10_000;
    private static final long DROP_LOG_INTERVAL_NANOS = Duration.ofSeconds(10).toNanos();
    private static final long SEEN_CHECK_INTERVAL_NANOS = Duration.ofSeconds(1).toNanos();

    private final EventLoop mEventLoop;
    private final EventLoopExecutor mExecutor;
    private final ConfigurationPeers mPeers;
    private final ConfigurationHolder mHolder;
    private final ConfigurationReplica mReplica;
    private final ConfigurationDistribution mDistribution;
    private final ConfigurationLogLimits mLimits;
    private final ChainStore mChain;
    private final UpdateCodec mUpdateCodec;
    private final PlatformFollower mPlatformFollower;
    private final PeerFollower mPeerFollower;
    private final TimeSource mTimeSource;
    private final Timeline mTimeline;
    private final Deque<Configuration> mRecentVersions = new ArrayDeque<>();
    private final AtomicLong mHighestSeenVersion = new AtomicLong();
    private volatile boolean mReady;
    private long mNextSeenCheckNanos;
    private long mNextDropLogNanos;
    private long mDroppedMessages;

    /**
     * Creates a service that is not started yet.
     *
     * @param self this instance
     * @param zone its availability zone
     * @param store the platform's object API
     * @param peers the other instances
     * @param holder the holder that each version coming into force is passed to
     * @param codec the codec of documents
     * @param timeSource the clocks
     * @param timeline the timeline that events are recorded in
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
        mNextSeenCheckNanos = timeSource.monotonicNanos();
        mNextDropLogNanos = mNextSeenCheckNanos;
        mTimeline = Assert.notNull(timeline, "A timeline");
        mEventLoop = new EventLoop("configuration", QUEUE_CAPACITY, timeSource);
        mExecutor = new EventLoopExecutor(mEventLoop);
        mDistribution = new ConfigurationDistribution(self, zone);
        mLimits =
                new ConfigurationLogLimits(
                        MAXIMUM_LOG_BYTES, change -> codec.encode(change).length);
        mReplica = new ConfigurationReplica(mLimits);
        mChain = new ChainStore(store, codec, mExecutor);
        mUpdateCodec = new UpdateCodec(codec);
        mPlatformFollower =
                new PlatformFollower(
                        mChain,
                        mReplica,
                        update -> apply("the platform", Optional.empty(), update),
                        mExecutor,
                        timeSource,
                        () -> ThreadLocalRandom.current().nextDouble());
        mPeerFollower =
                new PeerFollower(peers, mReplica, zone, this::applyPush, mExecutor, timeSource);
        mEventLoop.schedulePeriodically(TICK_PERIOD, this::tick);
        peers.setHandler(new PeerHandler());
    }

    /** Starts the thread of the event loop. */
    public void start() {
        mEventLoop.start();
    }

    /**
     * Determines whether this instance may serve: it has read the platform, or all its reachable
     * peers have reported their versions.
     *
     * @return {@code true} if this instance is ready
     */
    public boolean isReady() {
        return mReady;
    }

    /**
     * Records a version that a client or another party has seen. If it is higher than the one in
     * force, this instance looks for it. Ignored if it is more than 10,000 versions ahead.
     *
     * @param version the number of the version, which may be wrong
     */
    public void onVersionSeen(long version) {
        if (version <= mHolder.current().version().number() + MAXIMUM_VERSION_LEAD) {
            mHighestSeenVersion.accumulateAndGet(version, Math::max);
        }
    }

    @Override
    public void close() {
        mEventLoop.close();
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

    /**
     * Returns a version that was recently in force at this instance. Must be called on the thread
     * of the event loop.
     */
    Optional<Configuration> recentVersion(ConfigurationVersion version) {
        return mRecentVersions.stream()
                .filter(configuration -> configuration.version().equals(version))
                .findFirst();
    }

    /** Returns the configuration in force. Must be called on the thread of the event loop. */
    Configuration known() {
        return mReplica.current();
    }

    /**
     * Puts a version that this instance has just accepted into force. Must be called on the thread
     * of the event loop.
     */
    void applyAccepted(Configuration configuration, ConfigurationUpdate update) {
        if (configuration.version().isAfter(mReplica.current().version())) {
            apply("a confirmation", Optional.empty(), update);
        }
    }

    private void tick() {
        mPeerFollower.follow();
        if (!mReady) {
            updateReadiness();
            return;
        }
        if (mDistribution.isWatcher(mPeers.members())) {
            mPlatformFollower.watch();
        }
        fetchSeenVersion();
    }

    private void updateReadiness() {
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

    /**
     * Looks for a version that was seen elsewhere. A version that no member has reported may still
     * exist at the platform.
     */
    private void fetchSeenVersion() {
        long now = mTimeSource.monotonicNanos();
        long seen = mHighestSeenVersion.get();
        boolean behind = seen > mReplica.current().version().number();
        if (behind && now - mNextSeenCheckNanos >= 0) {
            mNextSeenCheckNanos = now + SEEN_CHECK_INTERVAL_NANOS;
            mPlatformFollower.read();
            mPeerFollower.follow();
            // A higher version that was seen in the meantime is looked for at the next check.
            mHighestSeenVersion.compareAndSet(seen, 0);
        }
    }

    private void applyPush(InstanceId from, ConfigurationPush push) {
        if (push.getVersion() <= mReplica.current().version().number()) {
            return;
        }
        mUpdateCodec
                .decode(push)
                .peek(update -> apply("instance " + from, Optional.of(from), update))
                .peekLeft(message -> logDropped(from, message));
    }

    /** Logs a dropped message at a limited rate, so that a faulty peer cannot fill the log. */
    private void logDropped(InstanceId from, String message) {
        mDroppedMessages++;
        long now = mTimeSource.monotonicNanos();
        if (now - mNextDropLogNanos >= 0) {
            mNextDropLogNanos = now + DROP_LOG_INTERVAL_NANOS;
            sLogger.warn(
                    "CONFIG  Dropped an unreadable message of instance {}, {} so far: {}",
                    from,
                    mDroppedMessages,
                    message);
        }
    }

    private void apply(String source, Optional<InstanceId> from, ConfigurationUpdate update) {
        Configuration before = mReplica.current();
        ConfigurationReplica.ApplyResult result = mReplica.apply(update);
        Configuration after = mReplica.current();
        if (after.version().isAfter(before.version())) {
            mHolder.offer(after);
            mRecentVersions.addLast(before);
            if (mRecentVersions.size() > MAXIMUM_RECENT_VERSIONS) {
                mRecentVersions.removeFirst();
            }
            sLogger.info("CONFIG  Version {} from {} is in force.", after.version(), source);
            mTimeline.record(
                    TimelinePart.CONFIG,
                    "version-in-force",
                    "",
                    after.version().toString(),
                    "from " + source);
            distribute(before.version(), after.version(), from);
        }
        if (result == ConfigurationReplica.ApplyResult.GAP) {
            from.ifPresent(mPeerFollower::fetchFrom);
        }
    }

    /**
     * Sends an update to other instances. An update that came from a peer is sent on only by an
     * instance that watches the platform; one that came from the platform or from a confirmation at
     * this instance is always sent.
     */
    private void distribute(
            ConfigurationVersion before, ConfigurationVersion after, Optional<InstanceId> from) {
        Collection<Member> members = mPeers.members();
        if (from.isPresent() && !mDistribution.isWatcher(members)) {
            return;
        }
        mReplica.updateSince(before)
                .map(update -> mUpdateCodec.encode(after, update))
                .ifPresent(
                        push ->
                                mDistribution.recipients(members, after).stream()
                                        .filter(id -> !from.equals(Optional.of(id)))
                                        .forEach(id -> mPeers.push(id, push)));
    }

    private void answerFetch(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer) {
        ConfigurationVersion current = mReplica.current().version();
        long known = Math.max(0, fetch.getKnownVersion());
        answer.accept(
                mReplica.updateSince(new ConfigurationVersion(known))
                        .map(update -> mUpdateCodec.encode(current, update))
                        .orElseGet(() -> UpdateCodec.nothingNewer(current)));
    }

    /** Handler that passes messages of peers to the event loop. */
    private final class PeerHandler implements ConfigurationPeers.Handler {

        @Override
        public void onPush(InstanceId from, ConfigurationPush push) {
            mEventLoop.offer(() -> applyPush(from, push));
        }

        @Override
        public void onFetch(ConfigurationFetch fetch, Consumer<ConfigurationPush> answer) {
            mEventLoop.offer(() -> answerFetch(fetch, answer));
        }
    }
}
