package io.masticpond.core.limit;

import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.support.HashMixer;
import io.masticpond.core.workspace.RateLimit;
import io.masticpond.core.workspace.Workspace;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.IntPredicate;

/**
 * This instance's view of the rates of all workspaces. A state machine for one thread.
 *
 * @since 0.2
 */
public final class SharedRates {

    private final Map<WorkspaceId, SharedRate> mRates = new HashMap<>();
    private SharedRateSettings mSettings;
    private int mInstances = 1;

    /**
     * Starts without any workspace.
     *
     * @param settings the bound
     */
    public SharedRates(SharedRateSettings settings) {
        mSettings = settings;
    }

    /**
     * Takes the workspaces now in force; those that stay keep what they used.
     *
     * @param workspaces the workspaces
     * @param nowNanos the monotonic time
     */
    public void update(Collection<Workspace> workspaces, long nowNanos) {
        Set<WorkspaceId> limited = new HashSet<>();
        for (Workspace workspace : workspaces) {
            Optional<RateLimit> limit = workspace.limit();
            if (limit.isPresent()) {
                limited.add(workspace.id());
                put(workspace.id(), limit.get(), nowNanos);
            }
        }
        mRates.keySet().retainAll(limited);
    }

    private void put(WorkspaceId id, RateLimit limit, long nowNanos) {
        SharedRate rate = mRates.get(id);
        if (rate == null) {
            rate = new SharedRate(limit, mSettings, mInstances, nowNanos);
            mRates.put(id, rate);
        } else if (!rate.limit().equals(limit)) {
            rate.applySettings(limit, mSettings, nowNanos);
        }
    }

    /**
     * Takes another bound.
     *
     * @param settings the bound
     * @param nowNanos the monotonic time
     */
    public void applySettings(SharedRateSettings settings, long nowNanos) {
        mSettings = settings;
        mRates.values().forEach(rate -> rate.applySettings(rate.limit(), settings, nowNanos));
    }

    /**
     * Hears how many instances there are.
     *
     * @param all those that may be sending, reached or not, this one included
     * @param nowNanos the monotonic time
     */
    public void setInstanceCount(int all, long nowNanos) {
        if (all != mInstances) {
            mInstances = all;
            mRates.values().forEach(rate -> rate.setInstanceCount(all, nowNanos));
        }
    }

    /**
     * Hears what others do.
     *
     * @param others their use by the hash of the workspace
     * @param covered of which workspaces it tells all there is
     * @param heardOf how many instances are in it
     * @param nowNanos the monotonic time
     */
    public void received(
            Map<Integer, RateUsage> others, IntPredicate covered, int heardOf, long nowNanos) {
        mRates.forEach(
                (id, rate) -> {
                    int hash = hash(id);
                    if (covered.test(hash)) {
                        rate.received(others.getOrDefault(hash, RateUsage.NONE), heardOf, nowNanos);
                    }
                });
    }

    /**
     * Counts the workspaces with a rate.
     *
     * @return the count
     */
    public int size() {
        return mRates.size();
    }

    /**
     * Gives what this instance does, to be told to the others.
     *
     * @param nowNanos the monotonic time
     * @return its use by the hash of the workspace, of those that are in use
     */
    public Map<Integer, RateUsage> report(long nowNanos) {
        Map<Integer, RateUsage> uses = new HashMap<>();
        mRates.forEach(
                (id, rate) -> {
                    RateUsage use = rate.report(nowNanos);
                    if (!use.isNone()) {
                        uses.put(hash(id), use);
                    }
                });
        return uses;
    }

    /**
     * Counts a request that came, and decides whether it may be sent.
     *
     * @param id the workspace
     * @param draw a random number from 0 up to 1
     * @param nowNanos the monotonic time
     * @return whether it may; without a limit always
     */
    public boolean tryAdmit(WorkspaceId id, double draw, long nowNanos) {
        SharedRate rate = mRates.get(id);
        return rate == null || rate.tryAdmit(draw, nowNanos);
    }

    /**
     * Counts a send of a request.
     *
     * @param id the workspace
     * @param nowNanos the monotonic time
     */
    public void sent(WorkspaceId id, long nowNanos) {
        SharedRate rate = mRates.get(id);
        if (rate != null) {
            rate.sent(nowNanos);
        }
    }

    /**
     * Tells when a caller that was turned away may come back.
     *
     * @param id the workspace
     * @param nowNanos the monotonic time
     * @return the pause
     */
    public Duration retryAfter(WorkspaceId id, long nowNanos) {
        SharedRate rate = mRates.get(id);
        return rate == null ? Duration.ZERO : rate.retryAfter(nowNanos);
    }

    /**
     * Tells whether a workspace has a rate.
     *
     * @param id the workspace
     * @return whether it has
     */
    public boolean isLimited(WorkspaceId id) {
        return mRates.containsKey(id);
    }

    /**
     * Tells whether any workspace has a rate.
     *
     * @return whether none has
     */
    public boolean isEmpty() {
        return mRates.isEmpty();
    }

    /**
     * Gives the credit that the whole fleet is believed to have.
     *
     * @param id a workspace with a rate
     * @return the requests that may be sent at once
     */
    public double credit(WorkspaceId id) {
        return mRates.get(id).credit();
    }

    /**
     * Gives the demand of a workspace.
     *
     * @param id a workspace with a rate
     * @param nowNanos the monotonic time
     * @return the requests a second that come to all instances, as far as known
     */
    public double demand(WorkspaceId id, long nowNanos) {
        return mRates.get(id).demand(nowNanos);
    }

    private static int hash(WorkspaceId id) {
        return (int) HashMixer.hash(id.value());
    }
}
