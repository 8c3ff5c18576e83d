package io.masticpond.core.probe;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ServerChooser;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.support.Assert;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Planner that selects the backend server whose load is probed next: a home of a recently requested
 * key whose load value is out of date. The rate is bounded, each server has at most one probe in
 * flight, and a server that does not answer is probed after increasing delays.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ProbePlanner {

    /** Time after which a request no longer makes its key's homes worth a probe. */
    static final long RECENT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Maximum number of requests that are kept. A search ranks the servers of a service once for
     * each of them, so it bounds the time of a search.
     */
    static final int MAXIMUM_RECENT = 8;

    /** Delay before the first doubling. It equals the timeout of a probe. */
    static final long INITIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Maximum delay after probes without an answer. */
    static final long MAXIMUM_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Longest interval, so that sums with the monotonic clock do not overflow. */
    private static final double MAXIMUM_INTERVAL_NANOS = TimeUnit.DAYS.toNanos(10_000);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ServerChooser mChooser;
    private final Deque<RecentRequest> mRecent = new ArrayDeque<>();
    private final Map<BackendServerId, ProbeState> mStates = new HashMap<>();
    private double mPerSecond;
    private boolean mHasSent;
    private long mSentNanos;

    /**
     * Creates a planner that selects no server until a rate is set.
     *
     * @param chooser the chooser of servers, which determines the homes of a key
     */
    public ProbePlanner(ServerChooser chooser) {
        mChooser = Assert.notNull(chooser, "A server chooser");
    }

    /**
     * Sets the maximum rate.
     *
     * @param perSecond the number of probes per second, 0 to send none
     */
    public void setRate(double perSecond) {
        Assert.isTrue(perSecond >= 0, "A number of probes must not be negative.");
        mPerSecond = perSecond;
        if (perSecond == 0) {
            mRecent.clear();
        }
    }

    /**
     * Returns the time between two probes.
     *
     * @return nanoseconds, or {@link Long#MAX_VALUE} if none is sent
     */
    public long intervalNanos() {
        return mPerSecond == 0
                ? Long.MAX_VALUE
                : (long) Math.ceil(Math.min(MAXIMUM_INTERVAL_NANOS, NANOS_PER_SECOND / mPerSecond));
    }

    /**
     * Records a request that is being placed.
     *
     * @param request the request
     * @param nowNanos the current monotonic time
     */
    public void requested(PlacementRequest request, long nowNanos) {
        if (mPerSecond == 0) {
            return;
        }
        if (mRecent.size() == MAXIMUM_RECENT) {
            mRecent.removeLast();
        }
        mRecent.addFirst(new RecentRequest(request, nowNanos));
    }

    /**
     * Selects the server to probe now, and counts it as being probed until {@link #ended} is called
     * for it.
     *
     * @param targets the servers
     * @param nowNanos the current monotonic time
     * @return the server, or empty if none is to be probed now
     */
    public Optional<ServerLoad> next(ProbeTargets targets, long nowNanos) {
        if (mPerSecond == 0 || (mHasSent && nowNanos - mSentNanos < intervalNanos())) {
            return Optional.empty();
        }
        mRecent.removeIf(each -> nowNanos - each.nanos() >= RECENT_NANOS);
        mStates.values().removeIf(state -> state.mLoad.isTerminated() && !state.mInFlight);
        for (RecentRequest each : mRecent) {
            Optional<ServerLoad> stale = stalestHome(each.request(), targets, nowNanos);
            if (stale.isPresent()) {
                mHasSent = true;
                mSentNanos = nowNanos;
                begin(stale.get());
                return stale;
            }
        }
        return Optional.empty();
    }

    /**
     * Records the end of a probe. A probe of a terminated run says nothing about the next run.
     *
     * @param load the server
     * @param result the result
     * @param nowNanos the current monotonic time
     */
    public void ended(ServerLoad load, ProbeResult result, long nowNanos) {
        ProbeState state = mStates.get(load.server().id());
        if (state == null || state.mLoad != load) {
            return;
        }
        state.mInFlight = false;
        if (result == ProbeResult.ANSWERED || load.isTerminated()) {
            mStates.remove(load.server().id());
            return;
        }
        state.mDelayNanos = Math.min(MAXIMUM_DELAY_NANOS, 2 * state.mDelayNanos);
        state.mNextNanos = nowNanos + state.mDelayNanos;
    }

    private Optional<ServerLoad> stalestHome(
            PlacementRequest request, ProbeTargets targets, long nowNanos) {
        List<ServerLoad> usable = new ArrayList<>();
        for (ServerLoad server : targets.servers(request.service())) {
            if (targets.allows(request, server)
                    && targets.obstacle(server, nowNanos)
                            .map(ProbeObstacle::takesRequests)
                            .orElse(true)) {
                usable.add(server);
            }
        }
        long oldestNanos = targets.persistenceNanos(request.service());
        ServerLoad stalest = null;
        for (ServerLoad home : mChooser.homeServers(usable, request, nowNanos)) {
            long ageNanos = home.reportAgeNanos(nowNanos);
            if (ageNanos > oldestNanos && mayProbe(home, targets, nowNanos)) {
                stalest = home;
                oldestNanos = ageNanos;
            }
        }
        return Optional.ofNullable(stalest);
    }

    private boolean mayProbe(ServerLoad server, ProbeTargets targets, long nowNanos) {
        if (targets.obstacle(server, nowNanos).isPresent()) {
            return false;
        }
        ProbeState state = mStates.get(server.server().id());
        if (state == null) {
            return true;
        }
        boolean isDelayed = state.mLoad == server && nowNanos - state.mNextNanos < 0;
        return !state.mInFlight && !isDelayed;
    }

    private void begin(ServerLoad load) {
        ProbeState state = mStates.get(load.server().id());
        if (state == null || state.mLoad != load) {
            state = new ProbeState(load);
            mStates.put(load.server().id(), state);
        }
        state.mInFlight = true;
    }

    /** Request whose homes may be probed. */
    private record RecentRequest(PlacementRequest request, long nanos) {}

    /** Probe in flight to a run of a server, or the delay after probes without an answer. */
    private static final class ProbeState {

        private final ServerLoad mLoad;
        private boolean mInFlight;
        private long mDelayNanos = INITIAL_DELAY_NANOS;
        private long mNextNanos;

        ProbeState(ServerLoad load) {
            mLoad = load;
        }
    }
}
