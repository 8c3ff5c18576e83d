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
 * Keeps the limits that backend servers name, over all instances together and without a message for
 * each request.
 *
 * <p>A limited server has a few senders, the first instances of its order; all others leave it out.
 * Each sender has an equal part of the limit and at most one request in hand, so what reaches the
 * server in a window is the limit and one request for each sender, and the number of senders
 * follows from what is tolerated beyond the limit. Instances that are cut off count for their part,
 * so groups that do not hear of each other stay within the bound together. What an answer says is
 * told to the others, since an instance that sends nothing hears nothing.
 *
 * <p>A state machine for one thread.
 *
 * @since 0.2
 */
public final class ServerLimits {

    /** A change below this share of the limit is not worth a message. */
    private static final double LEAST_CHANGE = 0.1;

    /** How far the ages that two instances tell of one moment may be apart. */
    private static final long CLOCK_MARGIN_NANOS = 100_000_000;

    private final LimitSenders mSenders;
    private final LimitListener mOutput;
    private final Map<BackendServerId, LimitedServer> mServers = new LinkedHashMap<>();
    private final Set<BackendServerId> mMalformed = new HashSet<>();
    private ServerLimitSettings mSettings;
    private long mMalformedCount;

    /**
     * Starts without any limited server, and with this instance alone.
     *
     * @param settings the bound
     * @param self this instance
     * @param regions the region of each zone, as far as known
     * @param output takes what is to be told
     * @param nowNanos the monotonic time
     */
    public ServerLimits(
            ServerLimitSettings settings,
            OwnerCandidate self,
            Function<ZoneId, Optional<RegionId>> regions,
            LimitListener output,
            long nowNanos) {
        mSettings = Assert.notNull(settings, "Settings of server limits");
        mSenders = new LimitSenders(self, regions, nowNanos);
        mOutput = Assert.notNull(output, "An output of server limits");
    }

    /**
     * Takes other settings, for what is decided after this.
     *
     * @param settings the settings
     */
    public void applySettings(ServerLimitSettings settings) {
        mSettings = Assert.notNull(settings, "Settings of server limits");
        mServers.values().forEach(each -> each.mInstances = List.of());
    }

    /**
     * Hears which instances there are.
     *
     * @param alive those that are heard, this one included; best the same list until it changes
     * @param shareholders how many may be sending, heard or not
     * @param nowNanos the monotonic time
     */
    public void updateInstances(List<OwnerCandidate> alive, int shareholders, long nowNanos) {
        mSenders.updateInstances(alive, shareholders, nowNanos);
    }

    /**
     * Hears which servers are registered. A limit outlives the entry of its server, which may be
     * lost and made anew while the server goes on; the next answer, or the end of the memory, ends
     * it.
     *
     * @param servers their ids
     */
    public void retain(Set<BackendServerId> servers) {
        mMalformed.retainAll(servers);
    }

    /**
     * Takes what an answer of a server says.
     *
     * @param server the server
     * @param header what it says
     * @param sentNanos the monotonic time at which the request was sent
     * @param now the moment at which the answer arrived
     */
    public void answered(RegisteredServer server, LimitHeader header, long sentNanos, Moment now) {
        if (header.kind() == LimitHeader.Kind.MALFORMED) {
            mMalformedCount++;
            if (mMalformed.add(server.id())) {
                mOutput.onMalformed(server.id());
            }
            return;
        }
        long nowNanos = now.monotonicNanos();
        LimitStatement said = new LimitStatement(header.perSecond(), sentNanos, nowNanos);
        take(server, said, now, true, nowNanos);
    }

    /**
     * Takes what another instance tells of a server.
     *
     * @param server the server
     * @param report what it tells
     * @param now the present moment
     * @return whether that was news
     */
    public boolean received(RegisteredServer server, LimitReport report, Moment now) {
        if (report.receivedAgoNanos() > mSettings.memory().toNanos()) {
            return false;
        }
        long nowNanos = now.monotonicNanos();
        LimitStatement said =
                new LimitStatement(
                        report.perSecond(),
                        nowNanos - report.sentAgoNanos(),
                        nowNanos - report.receivedAgoNanos());
        Moment received = now.minusNanos(report.receivedAgoNanos());
        return take(server, said, received, false, nowNanos);
    }

    /** Takes a statement unless a newer one is known; tells whether that changed the limit. */
    private boolean take(
            RegisteredServer server,
            LimitStatement said,
            Moment received,
            boolean isOwn,
            long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        if (state == null && !said.isLimited()) {
            return false;
        }
        LimitStatement before = state == null ? null : state.mStatement;
        LimitStatement now = before == null ? said : newest(before, said, isOwn);
        if (now.equals(before)) {
            return false;
        }
        if (state == null) {
            state = new LimitedServer(server);
            mServers.put(server.id(), state);
        }
        boolean wasLimited = before != null && before.isLimited();
        state.mStatement = now;
        if (now.receivedNanos() == said.receivedNanos()) {
            state.mReceived = received;
            state.mIsOwn = isOwn;
        }
        place(state, nowNanos);
        if (now.isLimited() && !wasLimited) {
            state.begin(nowNanos);
        } else if (wasLimited && !now.isLimited()) {
            state.mLiftedNanos = nowNanos;
        }
        return publish(state, nowNanos);
    }

    private static LimitStatement newest(
            LimitStatement before, LimitStatement said, boolean isOwn) {
        long margin = isOwn ? 0 : CLOCK_MARGIN_NANOS;
        if (said.isAfter(before, margin)) {
            return said;
        }
        return before.isAfter(said, margin) ? before : before.join(said);
    }

    private boolean publish(LimitedServer state, long nowNanos) {
        double limit = state.mStatement.perSecond();
        double change = Math.abs(limit - state.mReported);
        boolean isSame =
                limit == state.mReported
                        || Double.isFinite(change) && change <= LEAST_CHANGE * state.mReported;
        if (isSame) {
            return false;
        }
        state.mReported = limit;
        mOutput.onViewChanged(view(state, nowNanos));
        if (state.mIsOwn) {
            mOutput.onReport(report(state, 0));
        }
        return true;
    }

    private static LimitReport report(LimitedServer state, long agoNanos) {
        LimitStatement statement = state.mStatement;
        long took = Math.max(0, statement.receivedNanos() - statement.sentNanos());
        return new LimitReport(state.mHash, statement.perSecond(), agoNanos + took, agoNanos);
    }

    /**
     * Tells whether a server is limited, so that it takes a permit to send there.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether it is
     */
    public boolean isLimited(RegisteredServer server, long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        return state != null && isLimited(state, nowNanos);
    }

    /** Tells whether a limit is in force: one that nothing has confirmed for long is not. */
    private boolean isLimited(LimitedServer state, long nowNanos) {
        return state.isLimited()
                && nowNanos - state.mStatement.receivedNanos() <= mSettings.memory().toNanos();
    }

    /**
     * Tells whether this instance may send a request to a server now.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether it may; true for one that is not limited
     */
    public boolean hasPermit(RegisteredServer server, long nowNanos) {
        return !isLimited(server, nowNanos) || hasPermit(mServers.get(server.id()), nowNanos);
    }

    private boolean hasPermit(LimitedServer state, long nowNanos) {
        place(state, nowNanos);
        long sinceNanos = nowNanos - state.mSenderSinceNanos;
        return state.isSender()
                && sinceNanos >= mSettings.settling().toNanos()
                && state.hasPermit(nowNanos);
    }

    /**
     * Takes the right to send one request to a server, whether it is then used or not.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether there was one; true for a server that is not limited
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
     * Tells which part of the keys a server takes: all, but fewer for a while after its limit was
     * lifted, so that not all instances return at one moment.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return the part, 0 to 1
     */
    public double share(RegisteredServer server, long nowNanos) {
        LimitedServer state = mServers.get(server.id());
        if (state == null || state.isLimited()) {
            return 1;
        }
        return Math.min(1, (double) (nowNanos - state.mLiftedNanos) / mSettings.ramp().toNanos());
    }

    /**
     * Gives what this instance may send to a limited server.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return requests a second, 0 if it is no sender or the server is not limited
     */
    public double ownPerSecond(RegisteredServer server, long nowNanos) {
        if (!isLimited(server, nowNanos)) {
            return 0;
        }
        LimitedServer state = mServers.get(server.id());
        place(state, nowNanos);
        return state.isSender() ? state.mPerSecond : 0;
    }

    private void place(LimitedServer state, long nowNanos) {
        mSenders.place(state, mSettings, nowNanos);
    }

    /**
     * Gives what is known, to be told to an instance that may not have heard it. What was lifted
     * long ago is forgotten.
     *
     * @param now the present moment
     * @return a report for each server, in the same order until there are others
     */
    public List<LimitReport> reports(Moment now) {
        long memory = mSettings.memory().toNanos();
        mServers.values().removeIf(each -> isOver(each, now.monotonicNanos()));
        List<LimitReport> reports = new ArrayList<>();
        for (LimitedServer each : mServers.values()) {
            long agoNanos = Math.max(0, each.mReceived.nanosUntil(now));
            if (agoNanos <= memory) {
                reports.add(report(each, agoNanos));
            }
        }
        return reports;
    }

    /** Tells whether a limit has ended long ago, by an answer or for want of one. */
    private boolean isOver(LimitedServer state, long nowNanos) {
        if (isLimited(state, nowNanos)) {
            return false;
        }
        if (state.isLimited()) {
            state.mStatement = new LimitStatement(Double.POSITIVE_INFINITY, nowNanos, nowNanos);
            mOutput.onViewChanged(view(state, nowNanos));
            return true;
        }
        return nowNanos - state.mLiftedNanos > mSettings.memory().toNanos();
    }

    /**
     * Tells what is believed of each server that is limited, or was a moment ago.
     *
     * @param nowNanos the monotonic time
     * @return the beliefs, by service and server
     */
    public List<LimitView> views(long nowNanos) {
        List<LimitView> beliefs = new ArrayList<>();
        mServers.values().forEach(each -> beliefs.add(view(each, nowNanos)));
        beliefs.sort(
                Comparator.comparing((LimitView each) -> each.service().value())
                        .thenComparing(each -> each.server().value()));
        return beliefs;
    }

    private LimitView view(LimitedServer state, long nowNanos) {
        place(state, nowNanos);
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
     * Tells whether no server has named a limit lately.
     *
     * @return whether it is so
     */
    public boolean isEmpty() {
        return mServers.isEmpty();
    }

    /**
     * Tells whether nothing is known of a server's limit.
     *
     * @param server the server
     * @return whether an answer without a limit tells nothing new
     */
    public boolean isUnknown(BackendServerId server) {
        return !mServers.containsKey(server);
    }

    /**
     * Counts the answers that named something which is no limit.
     *
     * @return how many since the start
     */
    public long malformed() {
        return mMalformedCount;
    }
}
