package io.masticpond.core.statement;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.support.Assert;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Registry of the backend servers that have stated in their answers that they accept no requests.
 *
 * <p>A server's own statement overrides its registry entry, which may be out of date for long, and
 * holds for the lifetime of the server: an answer to an earlier request does not revoke it, nor
 * does an entry that states otherwise, nor one that was lost and is created again. A server that is
 * leaving receives no further requests; a server that requested a pause receives none until the
 * latest end of its pauses, and its keys return gradually.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ServerWithdrawals {

    private final WithdrawalListener mListener;
    private final Map<BackendServerId, Withdrawal> mServers = new HashMap<>();
    private WithdrawalSettings mSettings;
    private long mMalformedCount;

    /**
     * Creates a registry without withdrawals.
     *
     * @param settings the times for which withdrawals count
     * @param listener the listener to notify of changes
     */
    public ServerWithdrawals(WithdrawalSettings settings, WithdrawalListener listener) {
        mSettings = Assert.notNull(settings, "Settings of withdrawals");
        mListener = Assert.notNull(listener, "A listener of withdrawals");
    }

    /**
     * Replaces the settings for subsequent decisions.
     *
     * @param settings the new settings
     */
    public void applySettings(WithdrawalSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of withdrawals");
    }

    /**
     * Applies the statement in an answer of a server.
     *
     * @param server the server
     * @param statement the statement
     * @param nowNanos the monotonic time at which the head of the answer arrived
     */
    public void answered(RegisteredServer server, ServerStatement statement, long nowNanos) {
        switch (statement.leaving()) {
            case LEAVING -> recordLeaving(server, nowNanos);
            case MALFORMED -> recordMalformed(server, StatementPart.LEAVING, nowNanos);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The leaving header is unknown.");
        }
        switch (statement.pause().kind()) {
            case PAUSE -> recordPause(server, statement.pause().length(), nowNanos);
            case MALFORMED -> recordMalformed(server, StatementPart.PAUSE, nowNanos);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind of pause header is unknown.");
        }
    }

    private void recordLeaving(RegisteredServer server, long nowNanos) {
        Withdrawal state = stateOf(server, nowNanos);
        boolean isChanged = !state.mIsLeaving;
        state.mIsLeaving = true;
        if (isChanged) {
            mListener.onViewChanged(view(state, WithdrawalView.State.LEAVING, nowNanos));
        }
    }

    private void recordPause(RegisteredServer server, Duration requested, long nowNanos) {
        Duration longest = mSettings.longestPause();
        if (requested.compareTo(longest) > 0) {
            recordMalformed(server, StatementPart.PAUSE, nowNanos);
        }
        long nanos = requested.compareTo(longest) > 0 ? longest.toNanos() : requested.toNanos();
        Withdrawal state = stateOf(server, nowNanos);
        boolean isChanged = !state.mIsPaused;
        if (nanos == 0 || !isChanged && state.mPauseEndNanos - nowNanos >= nanos) {
            return;
        }
        state.mIsPaused = true;
        state.mPauseEndNanos = nowNanos + nanos;
        state.mPauseNanos = nanos;
        if (isChanged) {
            mListener.onViewChanged(view(state, WithdrawalView.State.PAUSED, nowNanos));
        }
    }

    private void recordMalformed(RegisteredServer server, StatementPart part, long nowNanos) {
        mMalformedCount++;
        Withdrawal state = stateOf(server, nowNanos);
        if (state.mMalformedParts.add(part)) {
            mListener.onMalformed(server.id(), part);
        }
    }

    private Withdrawal stateOf(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.computeIfAbsent(server.id(), id -> new Withdrawal());
        state.mServer = server;
        state.mStatedNanos = nowNanos;
        return state;
    }

    /**
     * Determines whether a server has stated that it is leaving.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return whether it accepts no requests any more
     */
    public boolean isLeaving(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        return state != null && state.mIsLeaving && isInForce(state, server, nowNanos);
    }

    /**
     * Returns the remaining time of a server's pause.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return nanoseconds, 0 if the server has not requested a pause or the pause is over
     */
    public long pausedForNanos(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        boolean isPaused = state != null && state.mIsPaused && isInForce(state, server, nowNanos);
        return isPaused ? Math.max(0, state.mPauseEndNanos - nowNanos) : 0;
    }

    /**
     * Returns the fraction of the keys that a server takes: all, but fewer for a while after its
     * pause, so that not all instances return at the same moment.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return the fraction, 0 to 1
     */
    public double share(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        if (state == null || state.mPauseNanos == 0 || !state.mServer.isSameRun(server)) {
            return 1;
        }
        double ramp = Math.min(mSettings.ramp().toNanos(), state.mPauseNanos);
        return Math.min(1, Math.max(0, (nowNanos - state.mPauseEndNanos) / ramp));
    }

    /**
     * Ends the pauses that are over; to be called frequently.
     *
     * @param nowNanos the current monotonic time
     */
    public void refresh(long nowNanos) {
        for (Withdrawal state : mServers.values()) {
            if (state.mIsPaused && state.mPauseEndNanos - nowNanos <= 0) {
                state.mIsPaused = false;
                if (!state.mIsLeaving) {
                    mListener.onViewChanged(view(state, WithdrawalView.State.RETURNED, nowNanos));
                }
            }
        }
        mServers.values().removeIf(state -> hasFullyReturned(state, nowNanos));
    }

    private boolean hasFullyReturned(Withdrawal state, long nowNanos) {
        long rampNanos = mSettings.ramp().toNanos();
        boolean hasAllKeys = nowNanos - state.mPauseEndNanos >= rampNanos;
        boolean isWithdrawn = state.mIsLeaving || state.mIsPaused;
        return !isWithdrawn && state.mMalformedParts.isEmpty() && hasAllKeys;
    }

    private boolean isInForce(Withdrawal state, RegisteredServer server, long nowNanos) {
        return state.mServer.isSameRun(server) || isRemembered(state, nowNanos);
    }

    private boolean isRemembered(Withdrawal state, long nowNanos) {
        return nowNanos - state.mStatedNanos <= mSettings.memory().toNanos();
    }

    /**
     * Removes the withdrawals of servers that were removed from the registry or restarted longer
     * ago than the memory time.
     *
     * @param servers the registered servers
     * @param nowNanos the current monotonic time
     */
    public void retain(Map<BackendServerId, RegisteredServer> servers, long nowNanos) {
        mServers.values().removeIf(state -> hasExpired(state, servers, nowNanos));
    }

    private boolean hasExpired(
            Withdrawal state, Map<BackendServerId, RegisteredServer> servers, long nowNanos) {
        RegisteredServer registered = servers.get(state.mServer.id());
        boolean isSameRun = registered != null && state.mServer.isSameRun(registered);
        if (isSameRun || isRemembered(state, nowNanos)) {
            return false;
        }
        if (registered != null && (state.mIsLeaving || state.mIsPaused)) {
            mListener.onViewChanged(view(state, WithdrawalView.State.RETURNED, nowNanos));
        }
        return true;
    }

    /**
     * Returns this instance's view of each server that has withdrawn.
     *
     * @param nowNanos the current monotonic time
     * @return the views, ordered by service and server
     */
    public List<WithdrawalView> views(long nowNanos) {
        List<WithdrawalView> views = new ArrayList<>();
        for (Withdrawal state : mServers.values()) {
            if (state.mIsLeaving) {
                views.add(view(state, WithdrawalView.State.LEAVING, nowNanos));
            } else if (state.mIsPaused) {
                views.add(view(state, WithdrawalView.State.PAUSED, nowNanos));
            }
        }
        views.sort(
                Comparator.comparing((WithdrawalView each) -> each.service().value())
                        .thenComparing(each -> each.server().value()));
        return views;
    }

    private static WithdrawalView view(Withdrawal state, WithdrawalView.State now, long nowNanos) {
        return new WithdrawalView(
                state.mServer.id(),
                state.mServer.service(),
                now,
                nowNanos - state.mStatedNanos,
                state.mIsPaused ? Math.max(0, state.mPauseEndNanos - nowNanos) : 0);
    }

    /**
     * Determines whether no server statement is recorded.
     *
     * @return whether nothing is recorded
     */
    public boolean isEmpty() {
        return mServers.isEmpty();
    }

    /**
     * Returns the number of malformed headers received.
     *
     * @return the number since the start
     */
    public long malformedCount() {
        return mMalformedCount;
    }

    /** Recorded statements of one server. */
    private static final class Withdrawal {

        /** Registration of the server at its latest statement. */
        private RegisteredServer mServer;

        private boolean mIsLeaving;
        private boolean mIsPaused;

        /** Monotonic time at which its last pause ends or ended. */
        private long mPauseEndNanos;

        /**
         * Length of its last pause, counted from the answer that requested it; 0 if it had none.
         */
        private long mPauseNanos;

        /** Monotonic time of the latest statement. */
        private long mStatedNanos;

        private final Set<StatementPart> mMalformedParts = EnumSet.noneOf(StatementPart.class);
    }
}
