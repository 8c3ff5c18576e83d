package io.masticpond.core.limit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.support.Assert;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Decides whether this instance may send to a cold backend server now.
 *
 * <p>Each cold server has owners among the instances, found by rendezvous hashing and near the
 * server if possible; all others send it nothing. An owner spaces its requests evenly, without any
 * burst, so slowly that the owners of several differing views of the fleet stay within the bound
 * together. One owner is the rule; a server that bears more has more, each with its part, since in
 * a large fleet one instance alone has too few requests for it. An instance that became an owner by
 * a change of the fleet waits until the owner before it has heard of the change.
 *
 * <p>A state machine for one thread.
 *
 * @since 0.2
 */
public final class ColdPacer {

    private static final double NANOS_PER_SECOND = 1e9;

    /** The part of its share that a server gets as soon as it is warm. */
    private static final double FIRST_WARMTH = 0.1;

    private ColdPacerSettings mSettings;
    private final OwnerOrder mOrder;
    private final Map<BackendServerId, ColdState> mStates = new HashMap<>();
    private List<OwnerCandidate> mCandidates = List.of();
    private long mCandidatesSinceNanos;

    /**
     * Starts without any cold server.
     *
     * @param settings the bound
     * @param regions the region of each zone, as far as known
     */
    public ColdPacer(ColdPacerSettings settings, Function<ZoneId, Optional<RegionId>> regions) {
        mSettings = Assert.notNull(settings, "Settings of a pacer");
        mOrder = new OwnerOrder(regions);
    }

    /**
     * Takes another bound, for the permits after this; what was sent stays counted.
     *
     * @param settings the bound
     */
    public void applySettings(ColdPacerSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of a pacer");
    }

    /**
     * Takes note of all servers and candidates; to be called when either changes, so that later
     * calls know how long ago that was.
     *
     * @param servers all registered servers
     * @param ownerCandidates the instances that may own cold servers
     * @param nowNanos the monotonic time
     */
    public void update(
            Collection<RegisteredServer> servers,
            List<OwnerCandidate> ownerCandidates,
            long nowNanos) {
        observe(ownerCandidates, nowNanos);
        Set<BackendServerId> present = new HashSet<>();
        for (RegisteredServer server : servers) {
            present.add(server.id());
            note(server, nowNanos);
        }
        mStates.keySet().retainAll(present);
    }

    /**
     * Tells whether a server is to be treated as cold: until a margin after it is said to be warm.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether it is
     */
    public boolean isCold(RegisteredServer server, long nowNanos) {
        ColdState state = note(server, nowNanos);
        return state != null && state.mWarmNanos - nowNanos > 0;
    }

    /**
     * Tells which part of its usual share a server should get: none while cold, then a part that
     * grows within the ramp, then all.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return the part, 0 to 1
     */
    public double warmth(RegisteredServer server, long nowNanos) {
        ColdState state = note(server, nowNanos);
        if (state == null) {
            return 1;
        }
        long warmFor = nowNanos - state.mWarmNanos;
        if (warmFor < 0) {
            return 0;
        }
        double part = (double) warmFor / mSettings.ramp().toNanos();
        return Math.min(1, FIRST_WARMTH + (1 - FIRST_WARMTH) * part);
    }

    /**
     * Takes the right to send one request to a server now, whether it is then used or not.
     *
     * @param server the server
     * @param rules the rules of its service
     * @param ownerCandidates the instances that may own cold servers, best the same list object
     *     until it changes
     * @param self this instance
     * @param nowNanos the monotonic time
     * @return whether it may be sent; always true for a warm server
     */
    public boolean tryAcquire(
            RegisteredServer server,
            ServiceRules rules,
            List<OwnerCandidate> ownerCandidates,
            InstanceId self,
            long nowNanos) {
        observe(ownerCandidates, nowNanos);
        ColdState state = note(server, nowNanos);
        if (state == null || state.mWarmNanos - nowNanos <= 0) {
            return true;
        }
        double perView = mSettings.perView(rules.warmUpRate());
        int owners = ownerCount(rules);
        double pace = perView / owners - 1;
        if (rules.warmUpRate() <= 0 || pace <= 0) {
            return false;
        }
        if (!isOwner(state, server, owners, self) || nowNanos - state.mNextNanos < 0) {
            return false;
        }
        long settled = state.mOwnerSinceNanos + mSettings.settling().toNanos();
        if (nowNanos - settled < 0) {
            return false;
        }
        state.mNextNanos = nowNanos + (long) (NANOS_PER_SECOND / pace);
        return true;
    }

    /**
     * Names the instances that keep the pace of a server while it is cold, as this one sees it.
     *
     * @param server the server
     * @param rules the rules of its service
     * @return the owners, nearest first; empty if no candidate is known
     */
    public List<InstanceId> ownersOf(RegisteredServer server, ServiceRules rules) {
        return List.copyOf(owners(server, ownerCount(rules)));
    }

    private int ownerCount(ServiceRules rules) {
        double perView = mSettings.perView(rules.warmUpRate());
        return Math.max(1, (int) (perView / mSettings.ownerShare()));
    }

    private ColdState note(RegisteredServer server, long nowNanos) {
        ColdState state = mStates.get(server.id());
        if (!server.isCold(nowNanos)) {
            return state;
        }
        if (state == null) {
            state = new ColdState(nowNanos);
            mStates.put(server.id(), state);
        }
        state.mWarmNanos = server.coldUntilNanos() + mSettings.margin().toNanos();
        return state;
    }

    private void observe(List<OwnerCandidate> candidates, long nowNanos) {
        if (candidates == mCandidates || candidates.equals(mCandidates)) {
            return;
        }
        mCandidates = candidates;
        mCandidatesSinceNanos = nowNanos;
    }

    /** An owner by two lists in a row stays one; by a new list alone it is one since that list. */
    private boolean isOwner(ColdState state, RegisteredServer server, int owners, InstanceId self) {
        if (state.mCandidates == mCandidates && state.mOwners == owners) {
            return state.mIsOwner;
        }
        boolean isOwner = owners(server, owners).contains(self);
        if (isOwner && !state.mIsOwner) {
            state.mOwnerSinceNanos = mCandidatesSinceNanos;
        }
        state.mCandidates = mCandidates;
        state.mOwners = owners;
        state.mIsOwner = isOwner;
        return isOwner;
    }

    private List<InstanceId> owners(RegisteredServer server, int count) {
        return mOrder.first(server, mCandidates, count);
    }

    /** What is known of one server that is or was cold. */
    private static final class ColdState {

        private long mWarmNanos;
        private long mNextNanos;
        private List<OwnerCandidate> mCandidates = List.of();
        private int mOwners;
        private boolean mIsOwner;
        private long mOwnerSinceNanos;

        ColdState(long nowNanos) {
            mNextNanos = nowNanos;
            mOwnerSinceNanos = nowNanos;
        }
    }
}
