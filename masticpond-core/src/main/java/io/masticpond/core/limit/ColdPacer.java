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
 * Pacer that decides whether this instance may send a request to a cold backend server now.
 *
 * <p>Each cold server has owners among the instances, chosen by rendezvous hashing and near the
 * server if possible; all other instances send it no requests. An owner spaces its requests evenly,
 * without bursts, and so slowly that the owners of several differing views of the fleet together
 * stay within the bound. Usually there is one owner. A server with a higher warm-up rate has more
 * owners, each with its part of the rate, since in a large fleet a single instance receives too few
 * requests for it. An instance that became an owner by a change of the fleet waits until the
 * previous owner has received the change.
 *
 * <p>A state machine for use by a single thread.
 *
 * @since 0.2
 */
public final class ColdPacer {

    private static final double NANOS_PER_SECOND = 1e9;

    /** Part of its share that a server gets as soon as it is warm. */
    private static final double INITIAL_WARMTH = 0.1;

    private ColdPacerSettings mSettings;
    private final OwnerOrder mOrder;
    private final Map<BackendServerId, ColdState> mStates = new HashMap<>();
    private List<OwnerCandidate> mCandidates = List.of();
    private long mCandidatesSinceNanos;

    /**
     * Creates a pacer without cold servers.
     *
     * @param settings the settings of the bound
     * @param regions the region of each zone, as far as known
     */
    public ColdPacer(ColdPacerSettings settings, Function<ZoneId, Optional<RegionId>> regions) {
        mSettings = Assert.notNull(settings, "Settings of a pacer");
        mOrder = new OwnerOrder(regions);
    }

    /**
     * Applies new settings for later permits. Requests sent before stay counted.
     *
     * @param settings the settings of the bound
     */
    public void applySettings(ColdPacerSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of a pacer");
    }

    /**
     * Updates the servers and candidates. Must be called whenever either changes, so that later
     * calls know the time of the change.
     *
     * @param servers all registered servers
     * @param ownerCandidates the instances that may own cold servers
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void update(
            Collection<RegisteredServer> servers,
            List<OwnerCandidate> ownerCandidates,
            long nowNanos) {
        observe(ownerCandidates, nowNanos);
        Set<BackendServerId> present = new HashSet<>();
        for (RegisteredServer server : servers) {
            present.add(server.id());
            updateState(server, nowNanos);
        }
        mStates.keySet().retainAll(present);
    }

    /**
     * Returns whether a server is treated as cold, which is until a margin after it is reported as
     * warm.
     *
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether the server is treated as cold
     */
    public boolean isCold(RegisteredServer server, long nowNanos) {
        ColdState state = updateState(server, nowNanos);
        return state != null && state.mWarmFromNanos - nowNanos > 0;
    }

    /**
     * Returns the part of its regular share that a server should get: none while cold, then a part
     * that grows during the ramp, then all.
     *
     * @param server the server
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the part, from 0 to 1
     */
    public double warmth(RegisteredServer server, long nowNanos) {
        ColdState state = updateState(server, nowNanos);
        if (state == null) {
            return 1;
        }
        long warmNanos = nowNanos - state.mWarmFromNanos;
        if (warmNanos < 0) {
            return 0;
        }
        double part = (double) warmNanos / mSettings.ramp().toNanos();
        return Math.min(1, INITIAL_WARMTH + (1 - INITIAL_WARMTH) * part);
    }

    /**
     * Acquires a permit to send one request to a server now, which counts whether it is used or
     * not.
     *
     * @param server the server
     * @param rules the rules of its service
     * @param ownerCandidates the instances that may own cold servers, preferably as the same list
     *     object until it changes
     * @param self this instance
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether the request may be sent; always true for a warm server
     */
    public boolean tryAcquire(
            RegisteredServer server,
            ServiceRules rules,
            List<OwnerCandidate> ownerCandidates,
            InstanceId self,
            long nowNanos) {
        observe(ownerCandidates, nowNanos);
        ColdState state = updateState(server, nowNanos);
        if (state == null || state.mWarmFromNanos - nowNanos <= 0) {
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
     * Returns the instances that pace the requests to a server while it is cold, in the view of
     * this instance.
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

    private ColdState updateState(RegisteredServer server, long nowNanos) {
        ColdState state = mStates.get(server.id());
        if (!server.isCold(nowNanos)) {
            if (state != null) {
                // The server may be warm sooner than it was expected to be.
                long warmNanos = nowNanos + mSettings.margin().toNanos();
                state.mWarmFromNanos = Math.min(state.mWarmFromNanos, warmNanos);
            }
            return state;
        }
        if (state == null) {
            state = new ColdState(nowNanos);
            mStates.put(server.id(), state);
        }
        state.mWarmFromNanos = server.coldUntilNanos() + mSettings.margin().toNanos();
        return state;
    }

    private void observe(List<OwnerCandidate> candidates, long nowNanos) {
        if (candidates == mCandidates || candidates.equals(mCandidates)) {
            return;
        }
        mCandidates = candidates;
        mCandidatesSinceNanos = nowNanos;
    }

    /**
     * Returns whether this instance owns a server. An owner by two consecutive candidate lists
     * remains the owner; an owner by the new list only is one since that list.
     */
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

    /** State of one server that is or was cold. */
    private static final class ColdState {

        private long mWarmFromNanos;
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
