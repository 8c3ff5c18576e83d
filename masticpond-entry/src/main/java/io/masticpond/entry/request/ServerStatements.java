package io.masticpond.entry.request;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.core.statement.ServerWithdrawals;
import io.masticpond.core.statement.StatementPart;
import io.masticpond.core.statement.WithdrawalListener;
import io.masticpond.core.statement.WithdrawalSettings;
import io.masticpond.core.statement.WithdrawalView;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.Exclusion;
import io.masticpond.entry.log.ViewChange;
import io.masticpond.entry.settings.HeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.List;

/**
 * Reads what backend servers state of themselves in their answers, and tells what holds of them for
 * it whenever a request is to be sent. Traffic thread only.
 *
 * @since 0.2
 */
public final class ServerStatements {

    private final TimeSource mTimeSource;
    private final StatementReader mReader;
    private final ServerLimitGate mLimits;
    private final ServerWithdrawals mWithdrawals;

    /**
     * Joins the parts.
     *
     * @param names the names of the headers
     * @param limits keeps the limits that servers name
     * @param settings for how long withdrawals count
     * @param timeSource the clock
     * @param log takes what is believed
     */
    public ServerStatements(
            HeaderNames names,
            ServerLimitGate limits,
            WithdrawalSettings settings,
            TimeSource timeSource,
            DecisionLog log) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mReader = new StatementReader(Assert.notNull(names, "Header names"));
        mLimits = Assert.notNull(limits, "A gate of server limits");
        Assert.notNull(log, "A decision log");
        mWithdrawals = new ServerWithdrawals(settings, new Output(log));
    }

    /**
     * Gives what keeps the limits that servers name.
     *
     * @return the gate
     */
    public ServerLimitGate limits() {
        return mLimits;
    }

    /**
     * Takes other settings, for what is decided after this.
     *
     * @param settings the settings
     */
    public void applySettings(WithdrawalSettings settings) {
        mWithdrawals.applySettings(settings);
    }

    /**
     * Tells what is believed of each server that has withdrawn.
     *
     * @return the beliefs
     */
    public List<WithdrawalView> withdrawals() {
        return mWithdrawals.views(mTimeSource.monotonicNanos());
    }

    /**
     * Counts the answers that stated something on a withdrawal which means nothing.
     *
     * @return how many since the start
     */
    public long malformed() {
        return mWithdrawals.malformed();
    }

    ServerStatement read(int status, HttpHeaders headers) {
        return mReader.read(status, headers);
    }

    void answered(ServerLoad load, ServerStatement statement, long sentNanos) {
        mLimits.answered(load, statement.limit(), sentNanos);
        mWithdrawals.answered(load.server(), statement, mTimeSource.monotonicNanos());
    }

    /** Tells why a server takes no requests at all, null if it does; a limit is another matter. */
    Exclusion exclusion(ServerLoad load, long nowNanos) {
        RegisteredServer server = load.server();
        if (mWithdrawals.isEmpty()) {
            return server.leaving() ? Exclusion.LEAVING : null;
        }
        if (server.leaving() || mWithdrawals.isLeaving(server, nowNanos)) {
            return Exclusion.LEAVING;
        }
        return mWithdrawals.pausedForNanos(server, nowNanos) > 0 ? Exclusion.PAUSED : null;
    }

    long pausedForNanos(ServerLoad load, long nowNanos) {
        return mWithdrawals.pausedForNanos(load.server(), nowNanos);
    }

    /** Gives the part of the keys that a server takes, less than 1 just after it returned. */
    double share(ServerLoad load, long nowNanos) {
        return Math.min(mLimits.share(load, nowNanos), mWithdrawals.share(load.server(), nowNanos));
    }

    /** Tells whether no server has stated anything that bears on a choice. */
    boolean isEmpty() {
        return mWithdrawals.isEmpty() && mLimits.isEmpty();
    }

    /** Looks which instances there are and which pauses are over; to be called often. */
    public void refresh() {
        mLimits.refreshInstances();
        mWithdrawals.refresh(mTimeSource.monotonicNanos());
    }

    /**
     * Tells whether a request may be written that was meant for a server a while ago.
     *
     * @param hadPermit whether it has had a permit, so that a limit is kept
     */
    boolean maySend(ServerLoad load, boolean hadPermit) {
        long nowNanos = mTimeSource.monotonicNanos();
        return exclusion(load, nowNanos) == null
                && (hadPermit || mLimits.tryPermit(load, nowNanos));
    }

    void update(FleetSnapshot snapshot) {
        mLimits.retain(snapshot.servers().keySet());
        mWithdrawals.retain(snapshot.servers(), mTimeSource.monotonicNanos());
    }

    /** Writes what is believed to the log. */
    private record Output(DecisionLog log) implements WithdrawalListener {

        @Override
        public void onViewChanged(WithdrawalView belief) {
            log.viewChanged(new ViewChange.Withdrawal(belief));
        }

        @Override
        public void onMalformed(BackendServerId server, StatementPart part) {
            log.viewChanged(new ViewChange.MalformedStatement(server, part));
        }
    }
}
