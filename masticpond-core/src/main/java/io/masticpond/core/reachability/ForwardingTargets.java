package io.masticpond.core.reachability;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.IntUnaryOperator;
import java.util.function.Predicate;

/**
 * Selector of the instances to which requests of an unreachable service are forwarded. It prefers
 * near instances, leaves out those that stated that they do not reach the service either, prefers
 * zones without such an instance, and spreads the requests by their number in flight.
 *
 * <p>Not thread-safe: confined to one thread. Times are on the monotonic clock, in nanoseconds.
 *
 * @since 0.3
 */
public final class ForwardingTargets {

    /** Maximum number of own requests in flight at one instance. */
    private static final int MAXIMUM_IN_FLIGHT = 64;

    /** Number of instances in a row without a connection that shows that no instance has one. */
    private static final int UNREACHABLE_PEERS = 8;

    private static final long BUSY_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final int RANKS_PER_DOUBT = 3;

    /** Knowledge of another instance. */
    private static final class Target {
        private final Map<ServiceId, Long> mUnreachableNanos = new HashMap<>();
        private ForwardingPeer mPeer;
        private int mInFlight;
        private boolean mIsBusy;
        private long mBusyNanos;

        boolean isUnreachable(ServiceId service, long memoryNanos, long nowNanos) {
            Long since = mUnreachableNanos.get(service);
            return since != null && nowNanos - since < memoryNanos;
        }

        boolean isBusy(long nowNanos) {
            return mInFlight >= MAXIMUM_IN_FLIGHT
                    || (mIsBusy && nowNanos - mBusyNanos < BUSY_NANOS);
        }
    }

    private final ZoneId mOwnZone;
    private final RegionId mOwnRegion;
    private final IntUnaryOperator mRandom;
    private final Map<InstanceId, Target> mTargets = new HashMap<>();
    private final Map<ServiceId, Set<InstanceId>> mUnreachableInRow = new HashMap<>();
    private Duration mMemory;

    /**
     * Creates a selector that knows no other instance.
     *
     * @param ownZone the availability zone of this instance
     * @param ownRegion the region of this instance
     * @param memory the time for which a statement of another instance holds
     * @param random returns a random number below its argument
     */
    public ForwardingTargets(
            ZoneId ownZone, RegionId ownRegion, Duration memory, IntUnaryOperator random) {
        mOwnZone = Assert.notNull(ownZone, "The own zone");
        mOwnRegion = Assert.notNull(ownRegion, "The own region");
        mMemory = Assert.notNull(memory, "A memory");
        mRandom = Assert.notNull(random, "A source of random numbers");
    }

    /**
     * Sets the time for which a statement of another instance holds.
     *
     * @param memory the time
     */
    public void setMemory(Duration memory) {
        mMemory = Assert.notNull(memory, "A memory");
    }

    /**
     * Updates the instances.
     *
     * @param peers the other instances that are ready and not suspected to have ended
     */
    public void update(Collection<ForwardingPeer> peers) {
        Set<InstanceId> present = new HashSet<>();
        for (ForwardingPeer peer : peers) {
            present.add(peer.id());
            mTargets.computeIfAbsent(peer.id(), id -> new Target()).mPeer = peer;
        }
        mTargets.entrySet()
                .removeIf(
                        each -> !present.contains(each.getKey()) && each.getValue().mInFlight == 0);
        mTargets.forEach((id, target) -> target.mPeer = present.contains(id) ? target.mPeer : null);
    }

    /**
     * Selects an instance.
     *
     * @param service the service of the request
     * @param allowed whether the request may be sent to a region
     * @param tried the instances that have refused the request
     * @param nowNanos the current time
     * @return the instance, or empty if none may take the request
     */
    public Optional<ForwardingPeer> choose(
            ServiceId service, Predicate<RegionId> allowed, Set<InstanceId> tried, long nowNanos) {
        if (isUnreachableForAll(service, nowNanos)) {
            return Optional.empty();
        }
        Set<ZoneId> doubted = doubtedZones(service, nowNanos);
        List<Target> best = new ArrayList<>();
        int bestRank = Integer.MAX_VALUE;
        for (Target each : mTargets.values()) {
            ForwardingPeer peer = each.mPeer;
            if (peer == null
                    || tried.contains(peer.id())
                    || !allowed.test(peer.region())
                    || each.isBusy(nowNanos)
                    || each.isUnreachable(service, mMemory.toNanos(), nowNanos)) {
                continue;
            }
            int rank = rank(peer, doubted);
            if (rank < bestRank) {
                best.clear();
                bestRank = rank;
            }
            if (rank == bestRank) {
                best.add(each);
            }
        }
        return best.isEmpty() ? Optional.empty() : Optional.of(lessLoaded(best).mPeer);
    }

    private int rank(ForwardingPeer peer, Set<ZoneId> doubted) {
        int distance = 2;
        if (peer.zone().equals(mOwnZone)) {
            distance = 0;
        } else if (peer.region().equals(mOwnRegion)) {
            distance = 1;
        }
        return doubted.contains(peer.zone()) ? RANKS_PER_DOUBT + distance : distance;
    }

    private Target lessLoaded(List<Target> targets) {
        Target first = targets.get(mRandom.applyAsInt(targets.size()));
        Target second = targets.get(mRandom.applyAsInt(targets.size()));
        return second.mInFlight < first.mInFlight ? second : first;
    }

    private Set<ZoneId> doubtedZones(ServiceId service, long nowNanos) {
        Set<ZoneId> zones = new HashSet<>();
        for (Target each : mTargets.values()) {
            if (each.mPeer != null && each.isUnreachable(service, mMemory.toNanos(), nowNanos)) {
                zones.add(each.mPeer.zone());
            }
        }
        return zones;
    }

    private boolean isUnreachableForAll(ServiceId service, long nowNanos) {
        Set<InstanceId> inRow = mUnreachableInRow.getOrDefault(service, Set.of());
        if (inRow.isEmpty() || inRow.size() < Math.min(UNREACHABLE_PEERS, mTargets.size())) {
            return false;
        }
        boolean isRecent =
                inRow.stream()
                        .map(mTargets::get)
                        .anyMatch(
                                target ->
                                        target != null
                                                && target.isUnreachable(
                                                        service, mMemory.toNanos(), nowNanos));
        if (!isRecent) {
            inRow.clear();
        }
        return isRecent;
    }

    /**
     * Records that a request is being forwarded.
     *
     * @param peer the instance
     */
    public void sent(InstanceId peer) {
        mTargets.computeIfAbsent(peer, id -> new Target()).mInFlight++;
    }

    /**
     * Records that a forwarded request has ended in any way.
     *
     * @param peer the instance
     */
    public void ended(InstanceId peer) {
        Target target = mTargets.get(peer);
        if (target != null) {
            target.mInFlight--;
        }
    }

    /**
     * Records that an instance processed a request, whatever its answer.
     *
     * @param peer the instance
     * @param service the service of the request
     */
    public void processed(InstanceId peer, ServiceId service) {
        mUnreachableInRow.remove(service);
        Target target = mTargets.get(peer);
        if (target != null) {
            target.mUnreachableNanos.remove(service);
        }
    }

    /**
     * Records that an instance stated that it does not reach a service.
     *
     * @param peer the instance
     * @param service the service
     * @param nowNanos the current time
     */
    public void unreachable(InstanceId peer, ServiceId service, long nowNanos) {
        Target target = mTargets.get(peer);
        if (target != null) {
            target.mUnreachableNanos.put(service, nowNanos);
            mUnreachableInRow.computeIfAbsent(service, id -> new HashSet<>()).add(peer);
        }
    }

    /**
     * Records that an instance took no request, as it was busy or could not be connected to.
     *
     * @param peer the instance
     * @param nowNanos the current time
     */
    public void busy(InstanceId peer, long nowNanos) {
        Target target = mTargets.get(peer);
        if (target != null) {
            target.mIsBusy = true;
            target.mBusyNanos = nowNanos;
        }
    }
}
