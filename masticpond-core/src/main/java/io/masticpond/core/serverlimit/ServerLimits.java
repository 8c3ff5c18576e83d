package io.masticpond.core.serverlimit;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

/**
 * Enforcement of the limits that backend servers state, over all instances together and without a
 * message for each request.
 *
 * <p>A limited server has a few senders, the first instances of its order; all other instances
 * exclude it. Each sender has an equal share of the limit and holds at most one permit, so a window
 * holds the limit and one request for each sender, and the number of senders follows from the
 * excess that is tolerated. Unreachable instances keep their share, so that partitioned groups stay
 * within the bound together. Limits are reported to the other instances, since an instance that
 * sends no requests receives no answers.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
public final class ServerLimits {

    /** Changes up to this fraction of the previously reported limit are not reported. */
    private static final double MINIMUM_CHANGE = 0.1;

    /** Greatest difference between the ages that two instances report for the same moment. */
    private static final long CLOCK_MARGIN_NANOS = 100_000_000;

    private final LimitSenders mSenders;
    private final LimitListener mListener;
    private final Map<BackendServerId, LimitedServer> mServers = new LinkedHashMap<>();
    private final Set<BackendServerId> mMalformed = new HashSet<>();
    private ServerLimitSettings mSettings;
    private long mMalformedCount;

    /**
     * Creates server limits without limited servers, with this instance as the only sender.
     *
     * @param settings the settings of the bound
     * @param self this instance
     * @param regions the region of each zone, empty if unknown
     * @param listener the listener to notify of changes
     * @param nowNanos the current monotonic time
     */
    public ServerLimits(
            ServerLimitSettings settings,
            OwnerCandidate self,
            Function<ZoneId, Optional<RegionId>> regions,
            LimitListener listener,
            long nowNanos) {
        mSettings = Assert.notNull(settings, "Settings of server limits");
        mSenders = new LimitSenders(self, regions, nowNanos);
        mListener = Assert.notNull(listener, "A listener of server limits");
    }

    /**
     * Replaces the settings for subsequent decisions.
     *
     * @param settings the new settings
     */
    public void applySettings(ServerLimitSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of server limits");
        mServers.values().forEach(each -> each.mInstances = List.of());
    }

    /**
     * Updates the instances that may send.
     *
     * @param alive the reachable instances, including this one; pass the same list while it is
     *     unchanged to avoid comparisons
     * @param shareholders the number of instances that may be sending, whether reachable or not
     * @param nowNanos the current monotonic time
     */
    public void updateInstances(List<OwnerCandidate> alive, int shareholders, long nowNanos) {
        mSenders.updateInstances(alive, shareholders, nowNanos);
    }

    /**
     * Removes the records of malformed limits of servers that are not registered. A limit is kept
     * longer than the registry entry of its server, since the entry may be lost and created again
     * while the server keeps running; the limit ends with the next answer or when the memory
     * expires.
     *
     * @param servers the ids of the registered servers
     */
    public void retain(Set<BackendServerId> servers) {
        mMalformed.retainAll(servers);
    }

    /**
     * Applies the limit header of an answer to this instance.
     *
     * @param server the server
     * @param header the limit header of the answer
     * @param sentNanos the monotonic time at which the request was sent
     * @param now the moment at which the answer arrived
     */
    public void applyAnswer(
            RegisteredServer server, LimitHeader header, long sentNanos, Moment now) {
        if (header.kind() == LimitHeader.Kind.MALFORMED) {
            mMalformedCount++;
            if (mMalformed.add(server.id())) {
                mListener.onMalformed(server.id());
            }
            return;
        }
        long nowNanos = now.monotonicNanos();
        LimitStatement statement = new LimitStatement(header.perSecond(), sentNanos, nowNanos);
        apply(server, statement, now, true, nowNanos);
    }

    /**
     * Applies a report of another instance.
     *
     * @param server the server
     * @param report the report
     * @param now the current moment
     * @return whether the report changed the limit
     */
    public boolean applyReport(RegisteredServer server, LimitReport report, Moment now) {
        if (report.receivedAgoNanos() > mSettings.memory().toNanos()) {
            return false;
        }
        long nowNanos = now.monotonicNanos();
        LimitStatement statement =
                new LimitStatement(
                        report.perSecond(),
                        nowNanos - report.sentAgoNanos(),
                        nowNanos - report.receivedAgoNanos());
        Moment received = now.minusNanos(report.receivedAgoNanos());
        return apply(server, statement, received, false, nowNanos);
    }

    /** Applies a statement unless a newer one is known; returns whether that changed the limit. */
    private boolean apply(
            RegisteredServer server,
            LimitStatement statement,
            Moment received,
            boolean isOwn,
            long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        if (state == null && !statement.isLimited()) {
            return false;
        }
        LimitStatement before = state == null ? null : state.mStatement;
        LimitStatement now = before == null ? statement : newest(before, statement, isOwn);
        if (now.equals(before)) {
            return false;
        }
        if (state == null) {
            state = new LimitedServer(server);
            mServers.put(server.id(), state);
        }
        boolean wasLimited = before != null && before.isLimited();
        state.mStatement = now;
        if (now.receivedNanos() == statement.receivedNanos()) {
            state.mReceived = received;
            state.mIsOwn = isOwn;
        }
        updateRank(state, nowNanos);
        if (now.isLimited() && !wasLimited) {
            state.startPermits(nowNanos);
        } else if (wasLimited && !now.isLimited()) {
            state.mLiftedNanos = nowNanos;
        }
        return publish(state, nowNanos);
    }

    private static LimitStatement newest(
            LimitStatement before, LimitStatement statement, boolean isOwn) {
        long margin = isOwn ? 0 : CLOCK_MARGIN_NANOS;
        if (statement.isAfter(before, margin)) {
            return statement;
        }
        return before.isAfter(statement, margin) ? before : before.merge(statement);
    }

    private boolean publish(LimitedServer state, long nowNanos) {
        double limit = state.mStatement.perSecond();
        double change = Math.abs(limit - state.mReported);
        boolean isSame =
                limit == state.mReported
                        || Double.isFinite(change) && change <= MINIMUM_CHANGE * state.mReported;
        if (isSame) {
            return false;
        }
        state.mReported = limit;
        mListener.onViewChanged(view(state, nowNanos));
        if (state.mIsOwn) {
            mListener.onReport(report(state, 0));
        }
        return true;
    }

    private static LimitReport report(LimitedServer state, long ageNanos) {
        LimitStatement statement = state.mStatement;
        long tookNanos = Math.max(0, statement.receivedNanos() - statement.sentNanos());
        return new LimitReport(state.mHash, statement.perSecond(), ageNanos + tookNanos, ageNanos);
    }

    /**
     * Determines whether a server is limited, so that a request to it requires a permit.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return whether the server is limited
     */
    public boolean isLimited(RegisteredServer server, long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        return state != null && isLimited(state, nowNanos);
    }

    /**
     * Determines whether a limit is in force; it is not once it has gone unconfirmed for the memory
     * time.
     */
    private boolean isLimited(LimitedServer state, long nowNanos) {
        return state.isLimited()
                && nowNanos - state.mStatement.receivedNanos() <= mSettings.memory().toNanos();
    }

    /**
     * Determines whether this instance may send a request to a server now.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return whether it may; {@code true} for a server that is not limited
     */
    public boolean hasPermit(RegisteredServer server, long nowNanos) {
        return !isLimited(server, nowNanos) || hasPermit(mServers.get(server.id()), nowNanos);
    }

    private boolean hasPermit(LimitedServer state, long nowNanos) {
        updateRank(state, nowNanos);
        long sinceNanos = nowNanos - state.mSenderSinceNanos;
        return state.isSender()
                && sinceNanos >= mSettings.settling().toNanos()
                && state.hasPermit(nowNanos);
    }

    /**
     * Acquires the permit to send one request to a server. The permit is consumed whether or not a
     * request is then sent.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return whether a permit was available; {@code true} for a server that is not limited
     */
    public boolean tryPermit(RegisteredServer server, long nowNanos) {
        if (!hasPermit(server, nowNanos)) {
            return false;
        }
        if (isLimited(server, nowNanos)) {
            mServers.get(server.id()).takePermit();
        }
        return true;
    }

    /**
     * Returns the fraction of the keys that a server takes: all, but fewer for a while after its
     * limit was lifted, so that not all instances return at the same moment.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return the fraction, 0 to 1
     */
    public double share(RegisteredServer server, long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        if (state == null || state.isLimited()) {
            return 1;
        }
        return Math.min(1, (double) (nowNanos - state.mLiftedNanos) / mSettings.ramp().toNanos());
    }

    /**
     * Returns the rate at which this instance may send to a limited server.
     *
     * @param server the server
     * @param nowNanos the current monotonic time
     * @return requests per second, 0 if this instance is not a sender or the server is not limited
     */
    public double ownPerSecond(RegisteredServer server, long nowNanos) {
        if (!isLimited(server, nowNanos)) {
            return 0;
        }
        LimitedServer state = mServers.get(server.id());
        updateRank(state, nowNanos);
        return state.isSender() ? state.mPerSecond : 0;
    }

    private void updateRank(LimitedServer state, long nowNanos) {
        mSenders.updateRank(state, mSettings, nowNanos);
    }

    /**
     * Returns reports of all known limits, for an instance that may not have received them. Removes
     * servers whose limit was lifted longer ago than the memory time.
     *
     * @param now the current moment
     * @return a report for each server, in the same order while the servers are unchanged
     */
    public List<LimitReport> reports(Moment now) {
        long memory = mSettings.memory().toNanos();
        mServers.values().removeIf(each -> hasExpired(each, now.monotonicNanos()));
        List<LimitReport> reports = new ArrayList<>();
        for (LimitedServer each : mServers.values()) {
            long ageNanos = Math.max(0, each.mReceived.nanosUntil(now));
            if (ageNanos <= memory) {
                reports.add(report(each, ageNanos));
            }
        }
        return reports;
    }

    /**
     * Determines whether a limit ended longer ago than the memory time, by an answer or because no
     * answer confirmed it.
     */
    private boolean hasExpired(LimitedServer state, long nowNanos) {
        if (isLimited(state, nowNanos)) {
            return false;
        }
        if (state.isLimited()) {
            state.mStatement = new LimitStatement(Double.POSITIVE_INFINITY, nowNanos, nowNanos);
            mListener.onViewChanged(view(state, nowNanos));
            return true;
        }
        return nowNanos - state.mLiftedNanos > mSettings.memory().toNanos();
    }

    /**
     * Returns this instance's view of each server that is limited or was limited recently.
     *
     * @param nowNanos the current monotonic time
     * @return the views, ordered by service and server
     */
    public List<LimitView> views(long nowNanos) {
        List<LimitView> views = new ArrayList<>();
        mServers.values().forEach(each -> views.add(view(each, nowNanos)));
        views.sort(
                Comparator.comparing((LimitView each) -> each.service().value())
                        .thenComparing(each -> each.server().value()));
        return views;
    }

    private LimitView view(LimitedServer state, long nowNanos) {
        updateRank(state, nowNanos);
        boolean isSender = state.isLimited() && state.isSender();
        return new LimitView(
                state.mServer.id(),
                state.mServer.service(),
                state.mStatement.perSecond(),
                state.mIsOwn,
                Math.max(0, nowNanos - state.mStatement.receivedNanos()),
                state.isLimited() ? state.mSenders : 0,
                isSender ? state.mPerSecond : 0);
    }

    /**
     * Determines whether no server has stated a limit recently.
     *
     * @return whether no limit is known
     */
    public boolean isEmpty() {
        return mServers.isEmpty();
    }

    /**
     * Determines whether nothing is known of a server's limit.
     *
     * @param server the server
     * @return whether an answer without a limit would change nothing
     */
    public boolean isUnknown(BackendServerId server) {
        return !mServers.containsKey(server);
    }

    /**
     * Returns the number of answers with a malformed limit.
     *
     * @return the number since the start
     */
    public long malformedCount() {
        return mMalformedCount;
    }
}
