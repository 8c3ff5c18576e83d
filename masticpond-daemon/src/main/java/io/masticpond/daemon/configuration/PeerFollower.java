package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationReplica;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.time.TimeSource;
import io.masticpond.protocol.generated.ConfigurationFetch;
import io.masticpond.protocol.generated.ConfigurationPush;
import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;

/**
 * Fetcher of updates from peers that report a higher version. Confined to the thread of the
 * configuration's event loop.
 *
 * <p>One fetch runs at a time. A peer that did not answer, or whose answer did not change the
 * configuration, is avoided for one second, so that another one is queried.
 */
final class PeerFollower {

    private static final long AVOIDANCE_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration MAXIMUM_FETCH_DURATION = Duration.ofSeconds(5);

    private final ConfigurationPeers mPeers;
    private final ConfigurationReplica mReplica;
    private final ZoneId mZone;
    private final BiConsumer<InstanceId, ConfigurationPush> mUpdateHandler;
    private final EventLoopExecutor mExecutor;
    private final TimeSource mTimeSource;
    private final Map<InstanceId, Long> mAvoided = new HashMap<>();
    private final Set<InstanceId> mAnswered = new HashSet<>();
    private final CallLimit mCall = new CallLimit(MAXIMUM_FETCH_DURATION);

    PeerFollower(
            ConfigurationPeers peers,
            ConfigurationReplica replica,
            ZoneId zone,
            BiConsumer<InstanceId, ConfigurationPush> updateHandler,
            EventLoopExecutor executor,
            TimeSource timeSource) {
        mPeers = peers;
        mReplica = replica;
        mZone = zone;
        mUpdateHandler = updateHandler;
        mExecutor = executor;
        mTimeSource = timeSource;
    }

    /** Fetches from the nearest peer that reports a higher version, if there is one. */
    void follow() {
        ConfigurationVersion current = mReplica.current().version();
        findCandidate(member -> member.configuration().isAfter(current))
                .ifPresent(member -> fetch(member.id(), current));
    }

    /**
     * Queries the next peer that has not answered yet, regardless of the version that it reports.
     */
    void queryNext() {
        findCandidate(member -> !mAnswered.contains(member.id()))
                .ifPresent(member -> fetch(member.id(), mReplica.current().version()));
    }

    /** Determines whether at least one peer has answered, and all reachable peers have. */
    boolean allAnswered() {
        return !mAnswered.isEmpty()
                && mPeers.members().stream()
                        .filter(member -> member.state().isReachable())
                        .allMatch(member -> mAnswered.contains(member.id()));
    }

    /** Fetches the missing changes from a peer whose update left a gap. */
    void fetchFrom(InstanceId peer) {
        fetch(peer, mReplica.current().version());
    }

    private Optional<Member> findCandidate(Predicate<Member> condition) {
        long now = mTimeSource.monotonicNanos();
        mAvoided.values().removeIf(until -> until - now <= 0);
        return mPeers.members().stream()
                .filter(member -> member.state().isReachable())
                .filter(member -> !mAvoided.containsKey(member.id()))
                .filter(condition)
                .min(Comparator.comparing(member -> !member.zone().equals(mZone)));
    }

    private void fetch(InstanceId peer, ConfigurationVersion known) {
        long now = mTimeSource.monotonicNanos();
        if (mCall.isRunning(now)) {
            return;
        }
        mCall.recordStart(now);
        ConfigurationFetch fetch =
                ConfigurationFetch.newBuilder().setKnownVersion(known.number()).build();
        mExecutor.whenDone(mPeers.fetch(peer, fetch), answer -> onAnswer(peer, answer));
    }

    private void onAnswer(InstanceId peer, Optional<ConfigurationPush> answer) {
        mCall.recordEnd();
        Configuration before = mReplica.current();
        if (answer.isPresent()) {
            mAnswered.add(peer);
            mUpdateHandler.accept(peer, answer.get());
        }
        if (mReplica.current().equals(before)) {
            mAvoided.put(peer, mTimeSource.monotonicNanos() + AVOIDANCE_NANOS);
        }
    }
}
