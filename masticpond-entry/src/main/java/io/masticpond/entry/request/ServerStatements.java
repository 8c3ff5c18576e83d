package io.masticpond.entry.request;

import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.statement.AttributedStatement;
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
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Statements of backend servers in their answers, which determine whether a request may be sent to
 * a server. For use on the traffic thread only.
 *
 * @since 0.2
 */
public final class ServerStatements {

    private final TimeSource mTimeSource;
    private final StatementReader mReader;
    private final ServerLimitGate mLimits;
    private final ServerWithdrawals mWithdrawals;
    private final Output mOutput;

    /** Servers whose malformed load header was logged. */
    private final Set<BackendServerId> mWithMalformedLoad = new HashSet<>();

    private long mMalformedLoadCount;

    /**
     * Creates the statements of servers.
     *
     * @param names the names of the headers
     * @param limits the gate of the limits that servers state
     * @param settings how long withdrawals apply
     * @param timeSource the clock
     * @param log the log of view changes
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
        mOutput = new Output(Assert.notNull(log, "A decision log"));
        mWithdrawals = new ServerWithdrawals(settings, mOutput);
    }

    /**
     * Returns the gate of the limits that servers state.
     *
     * @return the gate
     */
    public ServerLimitGate limits() {
        return mLimits;
    }

    /**
     * Replaces the settings. Applies to later decisions only.
     *
     * @param settings the settings
     */
    public void applySettings(WithdrawalSettings settings) {
        mWithdrawals.applySettings(settings);
    }

    /**
     * Returns the view of each server that has withdrawn.
     *
     * @return the views
     */
    public List<WithdrawalView> withdrawals() {
        return mWithdrawals.views(mTimeSource.monotonicNanos());
    }

    /**
     * Returns the number of answers with a malformed statement on a withdrawal.
     *
     * @return the count since the start of this instance
     */
    public long malformed() {
        return mWithdrawals.malformedCount();
    }

    /**
     * Returns the number of answers with a load header that is invalid at least in part.
     *
     * @return the count since the start of this instance
     */
    public long malformedLoads() {
        return mMalformedLoadCount;
    }

    ServerStatement read(ServerLoad load, int status, HttpHeaders headers) {
        if (mReader.isLoadMalformed(status, headers)) {
            mMalformedLoadCount++;
            if (mWithMalformedLoad.add(load.server().id())) {
                mOutput.onMalformed(load.server().id(), StatementPart.LOAD);
            }
        }
        return mReader.read(status, headers);
    }

    /** Reads for how long a server is cold from its answer to a health check. */
    Optional<Duration> readColdTime(HttpHeaders headers) {
        return mReader.readColdTime(headers);
    }

    void applyAnswer(ServerLoad load, ServerStatement statement, long sentNanos) {
        mLimits.applyAnswer(load, statement.limit(), sentNanos);
        mWithdrawals.answered(load.server(), statement, mTimeSource.monotonicNanos());
    }

    /**
     * Applies the statements of servers in an answer that another instance passed on, like those in
     * answers that this instance received itself. Statements of unknown servers are ignored.
     */
    void applyForwarded(ServerTable servers, List<AttributedStatement> statements, long sentNanos) {
        for (AttributedStatement each : statements) {
            servers.lastKnown(each.server(), sentNanos)
                    .ifPresent(load -> applyAnswer(load, each.statement(), sentNanos));
        }
    }

    /**
     * Returns why a server takes no requests at all, null if it takes some. Limits are not
     * considered.
     */
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

    /** Returns the share of the keys that a server takes, below 1 shortly after it returned. */
    double share(ServerLoad load, long nowNanos) {
        return Math.min(mLimits.share(load, nowNanos), mWithdrawals.share(load.server(), nowNanos));
    }

    /** Determines whether no server has stated anything that affects the choice of a server. */
    boolean isEmpty() {
        return mWithdrawals.isEmpty() && mLimits.isEmpty();
    }

    /** Updates the live instances and ends the pauses that are over. To be called often. */
    public void refresh() {
        mLimits.refreshInstances();
        mWithdrawals.refresh(mTimeSource.monotonicNanos());
    }

    /**
     * Determines whether a request that was assigned to a server earlier may still be written.
     *
     * @param hadPermit whether the request already has a permit under the limit of the server
     */
    boolean maySend(ServerLoad load, boolean hadPermit) {
        long nowNanos = mTimeSource.monotonicNanos();
        return exclusion(load, nowNanos) == null
                && (hadPermit || mLimits.tryPermit(load, nowNanos));
    }

    void update(FleetSnapshot snapshot) {
        mLimits.retain(snapshot.servers().keySet());
        mWithMalformedLoad.retainAll(snapshot.servers().keySet());
        mWithdrawals.retain(snapshot.servers(), mTimeSource.monotonicNanos());
    }

    /** Listener that logs the view changes and malformed statements. */
    private record Output(DecisionLog log) implements WithdrawalListener {

        @Override
        public void onViewChanged(WithdrawalView view) {
            log.viewChanged(new ViewChange.Withdrawal(view));
        }

        @Override
        public void onMalformed(BackendServerId server, StatementPart part) {
            log.viewChanged(new ViewChange.MalformedStatement(server, part));
        }
    }
}
