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
 * This instance's view of the rates of all workspaces. A state machine for use by a single thread.
 *
 * @since 0.2
 */
public final class SharedRates {

    private final Map<WorkspaceId, SharedRate> mRates = new HashMap<>();
    private SharedRateSettings mSettings;
    private int mInstances = 1;

    /**
     * Creates rates without any workspace.
     *
     * @param settings the settings of the bound
     */
    public SharedRates(SharedRateSettings settings) {
        mSettings = settings;
    }

    /**
     * Replaces the workspaces. Workspaces that remain keep their state.
     *
     * @param workspaces the workspaces
     * @param nowNanos the current monotonic time, in nanoseconds
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
     * Applies new settings of the bound.
     *
     * @param settings the settings of the bound
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void applySettings(SharedRateSettings settings, long nowNanos) {
        mSettings = settings;
        mRates.values().forEach(rate -> rate.applySettings(rate.limit(), settings, nowNanos));
    }

    /**
     * Sets the number of instances.
     *
     * @param all the number of instances that may be sending, reachable or not, including this one
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void setInstanceCount(int all, long nowNanos) {
        if (all != mInstances) {
            mInstances = all;
            mRates.values().forEach(rate -> rate.setInstanceCount(all, nowNanos));
        }
    }

    /**
     * Handles an update on the usage of the other instances.
     *
     * @param others their usage by the hash of the workspace
     * @param isCovered the hashes of the workspaces for which the update is complete
     * @param reportedInstances the number of instances in the update
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void received(
            Map<Integer, RateUsage> others,
            IntPredicate isCovered,
            int reportedInstances,
            long nowNanos) {
        mRates.forEach(
                (id, rate) -> {
                    int hash = hash(id);
                    if (isCovered.test(hash)) {
                        rate.received(
                                others.getOrDefault(hash, RateUsage.NONE),
                                reportedInstances,
                                nowNanos);
                    }
                });
    }

    /**
     * Returns the number of workspaces with a rate.
     *
     * @return the count
     */
    public int size() {
        return mRates.size();
    }

    /**
     * Returns the usage of this instance, to be reported to the others.
     *
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return its usage by the hash of the workspace, for workspaces that are in use
     */
    public Map<Integer, RateUsage> report(long nowNanos) {
        Map<Integer, RateUsage> usages = new HashMap<>();
        mRates.forEach(
                (id, rate) -> {
                    RateUsage usage = rate.report(nowNanos);
                    if (!usage.isNone()) {
                        usages.put(hash(id), usage);
                    }
                });
        return usages;
    }

    /**
     * Counts a received request and decides whether it may be sent.
     *
     * @param id the workspace
     * @param draw a random number from 0 (inclusive) to 1 (exclusive)
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return whether it may; always true without a limit
     */
    public boolean tryAdmit(WorkspaceId id, double draw, long nowNanos) {
        SharedRate rate = mRates.get(id);
        return rate == null || rate.tryAdmit(draw, nowNanos);
    }

    /**
     * Counts a sent request.
     *
     * @param id the workspace
     * @param nowNanos the current monotonic time, in nanoseconds
     */
    public void sent(WorkspaceId id, long nowNanos) {
        SharedRate rate = mRates.get(id);
        if (rate != null) {
            rate.sent(nowNanos);
        }
    }

    /**
     * Returns the time after which a rejected caller may retry.
     *
     * @param id the workspace
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the time to wait
     */
    public Duration retryAfter(WorkspaceId id, long nowNanos) {
        SharedRate rate = mRates.get(id);
        return rate == null ? Duration.ZERO : rate.retryAfter(nowNanos);
    }

    /**
     * Returns whether a workspace has a rate.
     *
     * @param id the workspace
     * @return whether the workspace has a rate
     */
    public boolean isLimited(WorkspaceId id) {
        return mRates.containsKey(id);
    }

    /**
     * Returns whether no workspace has a rate.
     *
     * @return whether there is none
     */
    public boolean isEmpty() {
        return mRates.isEmpty();
    }

    /**
     * Returns the credit of the whole fleet in the view of this instance.
     *
     * @param id a workspace with a rate
     * @return the requests that may be sent at once
     */
    public double credit(WorkspaceId id) {
        return mRates.get(id).credit();
    }

    /**
     * Returns the demand of a workspace.
     *
     * @param id a workspace with a rate
     * @param nowNanos the current monotonic time, in nanoseconds
     * @return the requests per second received by all instances, as far as known
     */
    public double demand(WorkspaceId id, long nowNanos) {
        return mRates.get(id).demand(nowNanos);
    }

    private static int hash(WorkspaceId id) {
        return (int) HashMixer.hash(id.value());
    }
}
