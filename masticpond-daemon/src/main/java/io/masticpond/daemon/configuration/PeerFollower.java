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
 * Fetches from a peer that says it has a higher version; owned by the configuration's duty.
 *
 * <p>One fetch runs at a time. A peer that gave nothing is left alone for a while, so that another
 * is asked.
 */
final class PeerFollower {

    private static final long AVOID_NANOS = Duration.ofSeconds(1).toNanos();

    private static final Duration LONGEST_FETCH = Duration.ofSeconds(5);

    private final ConfigurationPeers mPeers;
    private final ConfigurationReplica mReplica;
    private final ZoneId mZone;
    private final BiConsumer<InstanceId, ConfigurationPush> mTake;
    private final EventLoopExecutor mExecutor;
    private final TimeSource mTimeSource;
    private final Map<InstanceId, Long> mAvoided = new HashMap<>();
    private final Set<InstanceId> mAnswered = new HashSet<>();
    private final CallLimit mCall = new CallLimit(LONGEST_FETCH);

    PeerFollower(
            ConfigurationPeers peers,
            ConfigurationReplica replica,
            ZoneId zone,
            BiConsumer<InstanceId, ConfigurationPush> take,
            EventLoopExecutor executor,
            TimeSource timeSource) {
        mPeers = peers;
        mReplica = replica;
        mZone = zone;
        mTake = take;
        mExecutor = executor;
        mTimeSource = timeSource;
    }

    /** Fetches from the nearest peer that has a higher version, if there is one. */
    void follow() {
        ConfigurationVersion current = mReplica.current().version();
        candidate(member -> member.configuration().isAfter(current))
                .ifPresent(member -> fetch(member.id(), current));
    }

    /** Asks the next peer that has not answered yet, whatever version it says it has. */
    void queryNext() {
        candidate(member -> !mAnswered.contains(member.id()))
                .ifPresent(member -> fetch(member.id(), mReplica.current().version()));
    }

    /** Tells whether at least one peer answered, and all reachable ones did. */
    boolean allAnswered() {
        return !mAnswered.isEmpty()
                && mPeers.members().stream()
                        .filter(member -> member.state().isReachable())
                        .allMatch(member -> mAnswered.contains(member.id()));
    }

    /** Asks a peer for the whole, since changes are missing. */
    void fetchFrom(InstanceId peer) {
        fetch(peer, mReplica.current().version());
    }

    private Optional<Member> candidate(Predicate<Member> condition) {
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
        mCall.started(now);
        ConfigurationFetch fetch =
                ConfigurationFetch.newBuilder().setKnownVersion(known.number()).build();
        mExecutor.whenDone(mPeers.fetch(peer, fetch), answer -> onAnswer(peer, answer));
    }

    private void onAnswer(InstanceId peer, Optional<ConfigurationPush> answer) {
        mCall.ended();
        Configuration before = mReplica.current();
        if (answer.isPresent()) {
            mAnswered.add(peer);
            mTake.accept(peer, answer.get());
        }
        if (mReplica.current().equals(before)) {
            mAvoided.put(peer, mTimeSource.monotonicNanos() + AVOID_NANOS);
        }
    }
}
