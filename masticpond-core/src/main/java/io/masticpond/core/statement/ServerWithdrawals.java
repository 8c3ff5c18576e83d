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
 * Keeps which backend servers have said in their answers that they take no requests.
 *
 * <p>What a server says of itself goes before the registry, which may be silent for long, and holds
 * for its lifetime: an answer to an earlier request takes nothing back, nor does an entry that says
 * otherwise, nor one that was lost and is made anew. A server that leaves gets nothing from then
 * on; one that asked for a pause gets nothing until its latest end, and its keys return over a
 * while.
 *
 * <p>A state machine for one thread.
 *
 * @since 0.2
 */
public final class ServerWithdrawals {

    private final WithdrawalListener mOutput;
    private final Map<BackendServerId, Withdrawal> mServers = new HashMap<>();
    private WithdrawalSettings mSettings;
    private long mMalformed;

    /**
     * Starts without any withdrawal.
     *
     * @param settings for how long they count
     * @param output takes what is to be told
     */
    public ServerWithdrawals(WithdrawalSettings settings, WithdrawalListener output) {
        mSettings = Assert.notNull(settings, "Settings of withdrawals");
        mOutput = Assert.notNull(output, "An output of withdrawals");
    }

    /**
     * Takes other settings, for what is decided after this.
     *
     * @param settings the settings
     */
    public void applySettings(WithdrawalSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of withdrawals");
    }

    /**
     * Takes what an answer of a server states.
     *
     * @param server the server
     * @param statement what it states
     * @param nowNanos the monotonic time at which the head of the answer arrived
     */
    public void answered(RegisteredServer server, ServerStatement statement, long nowNanos) {
        switch (statement.leaving()) {
            case LEAVING -> leaves(server, nowNanos);
            case MALFORMED -> malformed(server, StatementPart.LEAVING, nowNanos);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The word is unknown.");
        }
        switch (statement.pause().kind()) {
            case PAUSE -> pauses(server, statement.pause().length(), nowNanos);
            case MALFORMED -> malformed(server, StatementPart.PAUSE, nowNanos);
            case ABSENT -> {}
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void leaves(RegisteredServer server, long nowNanos) {
        Withdrawal state = state(server, nowNanos);
        boolean isNews = !state.mIsLeaving;
        state.mIsLeaving = true;
        if (isNews) {
            mOutput.onViewChanged(view(state, WithdrawalView.State.LEAVING, nowNanos));
        }
    }

    private void pauses(RegisteredServer server, Duration asked, long nowNanos) {
        Duration longest = mSettings.longestPause();
        if (asked.compareTo(longest) > 0) {
            malformed(server, StatementPart.PAUSE, nowNanos);
        }
        long nanos = asked.compareTo(longest) > 0 ? longest.toNanos() : asked.toNanos();
        Withdrawal state = state(server, nowNanos);
        boolean isNews = !state.mIsPaused;
        if (nanos == 0 || !isNews && state.mUntilNanos - nowNanos >= nanos) {
            return;
        }
        state.mIsPaused = true;
        state.mUntilNanos = nowNanos + nanos;
        state.mPauseNanos = nanos;
        if (isNews) {
            mOutput.onViewChanged(view(state, WithdrawalView.State.PAUSED, nowNanos));
        }
    }

    private void malformed(RegisteredServer server, StatementPart part, long nowNanos) {
        mMalformed++;
        Withdrawal state = state(server, nowNanos);
        if (state.mMalformed.add(part)) {
            mOutput.onMalformed(server.id(), part);
        }
    }

    private Withdrawal state(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.computeIfAbsent(server.id(), id -> new Withdrawal());
        state.mServer = server;
        state.mSaidNanos = nowNanos;
        return state;
    }

    /**
     * Tells whether a server has said that it leaves.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether it takes no requests any more
     */
    public boolean isLeaving(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        return state != null && state.mIsLeaving && holds(state, server, nowNanos);
    }

    /**
     * Tells for how long a server still wants no requests.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return nanoseconds, 0 if it has not asked for a pause or that is over
     */
    public long pausedForNanos(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        boolean isPaused = state != null && state.mIsPaused && holds(state, server, nowNanos);
        return isPaused ? Math.max(0, state.mUntilNanos - nowNanos) : 0;
    }

    /**
     * Tells which part of the keys a server takes: all, but fewer for a while after its pause, so
     * that not all instances return at one moment.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return the part, 0 to 1
     */
    public double share(RegisteredServer server, long nowNanos) {
        Withdrawal state = mServers.get(server.id());
        if (state == null || state.mPauseNanos == 0 || !state.mServer.isSameRun(server)) {
            return 1;
        }
        double ramp = Math.min(mSettings.ramp().toNanos(), state.mPauseNanos);
        return Math.min(1, Math.max(0, (nowNanos - state.mUntilNanos) / ramp));
    }

    /**
     * Ends the pauses that are over; to be called often.
     *
     * @param nowNanos the monotonic time
     */
    public void refresh(long nowNanos) {
        for (Withdrawal state : mServers.values()) {
            if (state.mIsPaused && state.mUntilNanos - nowNanos <= 0) {
                state.mIsPaused = false;
                if (!state.mIsLeaving) {
                    mOutput.onViewChanged(view(state, WithdrawalView.State.RETURNED, nowNanos));
                }
            }
        }
        mServers.values().removeIf(state -> hasReturned(state, nowNanos));
    }

    private boolean hasReturned(Withdrawal state, long nowNanos) {
        long rampNanos = mSettings.ramp().toNanos();
        boolean hasAllKeys = nowNanos - state.mUntilNanos >= rampNanos;
        boolean isWithdrawn = state.mIsLeaving || state.mIsPaused;
        return !isWithdrawn && state.mMalformed.isEmpty() && hasAllKeys;
    }

    private boolean holds(Withdrawal state, RegisteredServer server, long nowNanos) {
        return state.mServer.isSameRun(server) || isRemembered(state, nowNanos);
    }

    private boolean isRemembered(Withdrawal state, long nowNanos) {
        return nowNanos - state.mSaidNanos <= mSettings.memory().toNanos();
    }

    /**
     * Forgets the servers that have long been gone or have long started anew.
     *
     * @param servers those that are registered
     * @param nowNanos the monotonic time
     */
    public void retain(Map<BackendServerId, RegisteredServer> servers, long nowNanos) {
        mServers.values().removeIf(state -> isOver(state, servers, nowNanos));
    }

    private boolean isOver(
            Withdrawal state, Map<BackendServerId, RegisteredServer> servers, long nowNanos) {
        RegisteredServer registered = servers.get(state.mServer.id());
        boolean isSameRun = registered != null && state.mServer.isSameRun(registered);
        if (isSameRun || isRemembered(state, nowNanos)) {
            return false;
        }
        if (registered != null && (state.mIsLeaving || state.mIsPaused)) {
            mOutput.onViewChanged(view(state, WithdrawalView.State.RETURNED, nowNanos));
        }
        return true;
    }

    /**
     * Tells what is believed of each server that has withdrawn.
     *
     * @param nowNanos the monotonic time
     * @return the beliefs, by service and server
     */
    public List<WithdrawalView> views(long nowNanos) {
        List<WithdrawalView> beliefs = new ArrayList<>();
        for (Withdrawal state : mServers.values()) {
            if (state.mIsLeaving) {
                beliefs.add(view(state, WithdrawalView.State.LEAVING, nowNanos));
            } else if (state.mIsPaused) {
                beliefs.add(view(state, WithdrawalView.State.PAUSED, nowNanos));
            }
        }
        beliefs.sort(
                Comparator.comparing((WithdrawalView each) -> each.service().value())
                        .thenComparing(each -> each.server().value()));
        return beliefs;
    }

    private static WithdrawalView view(Withdrawal state, WithdrawalView.State now, long nowNanos) {
        return new WithdrawalView(
                state.mServer.id(),
                state.mServer.service(),
                now,
                nowNanos - state.mSaidNanos,
                state.mIsPaused ? Math.max(0, state.mUntilNanos - nowNanos) : 0);
    }

    /**
     * Tells whether no server has stated anything of this kind.
     *
     * @return whether it is so
     */
    public boolean isEmpty() {
        return mServers.isEmpty();
    }

    /**
     * Counts the answers that stated something which means nothing.
     *
     * @return how many since the start
     */
    public long malformed() {
        return mMalformed;
    }

    /** What one server has said. */
    private static final class Withdrawal {

        /** As registered when it said so last. */
        private RegisteredServer mServer;

        private boolean mIsLeaving;
        private boolean mIsPaused;

        /** When its last pause ends or ended. */
        private long mUntilNanos;

        /** How long its last pause was from the answer that asked for it, 0 if it had none. */
        private long mPauseNanos;

        private long mSaidNanos;
        private final Set<StatementPart> mMalformed = EnumSet.noneOf(StatementPart.class);
    }
}
