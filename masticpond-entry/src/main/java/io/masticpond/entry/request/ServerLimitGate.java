package io.masticpond.entry.request;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.OwnerCandidate;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.placement.ServerTable;
import io.masticpond.core.serverlimit.LimitHeader;
import io.masticpond.core.serverlimit.LimitListener;
import io.masticpond.core.serverlimit.LimitReport;
import io.masticpond.core.serverlimit.LimitView;
import io.masticpond.core.serverlimit.ServerLimitSettings;
import io.masticpond.core.serverlimit.ServerLimits;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.Moment;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.DecisionLog;
import io.masticpond.entry.log.ViewChange;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.Supplier;

/**
 * Keeps the limits that backend servers name: joins what their answers say, what other instances
 * tell, and the sends of this instance. Traffic thread only.
 *
 * @since 0.2
 */
public final class ServerLimitGate {

    private final TimeSource mTimeSource;
    private final DecisionLog mLog;
    private final Supplier<List<OwnerCandidate>> mInstances;
    private final IntSupplier mShareholders;
    private final ServerLimits mLimits;
    private Consumer<LimitReport> mOutlet = report -> {};

    /**
     * Starts without any limit.
     *
     * @param settings the bound
     * @param self this instance
     * @param regions the region of each zone
     * @param instances gives the instances that are alive, this one included
     * @param shareholders among how many instances common limits are divided
     * @param timeSource the clocks
     * @param log takes what is believed
     */
    public ServerLimitGate(
            ServerLimitSettings settings,
            OwnerCandidate self,
            Map<ZoneId, RegionId> regions,
            Supplier<List<OwnerCandidate>> instances,
            IntSupplier shareholders,
            TimeSource timeSource,
            DecisionLog log) {
        mTimeSource = Assert.notNull(timeSource, "A time source");
        mLog = Assert.notNull(log, "A decision log");
        mInstances = Assert.notNull(instances, "The living instances");
        mShareholders = Assert.notNull(shareholders, "A count of shareholders");
        mLimits =
                new ServerLimits(
                        settings,
                        self,
                        zone -> Optional.ofNullable(regions.get(zone)),
                        new Output(),
                        timeSource.monotonicNanos());
    }

    /**
     * Says who carries reports to the other instances.
     *
     * @param outlet carries them
     */
    public void publishTo(Consumer<LimitReport> outlet) {
        mOutlet = Assert.notNull(outlet, "An outlet");
    }

    /**
     * Takes other settings, for what is decided after this.
     *
     * @param settings the settings
     */
    public void applySettings(ServerLimitSettings settings) {
        mLimits.applySettings(settings);
    }

    /** Looks which instances there are now; to be called often. */
    public void refreshInstances() {
        mLimits.updateInstances(mInstances.get(), mShareholders.getAsInt(), now());
    }

    /**
     * Takes what another instance told.
     *
     * @param servers the servers that are known here
     * @param reports what it told
     * @return the reports that were news
     */
    public List<LimitReport> received(ServerTable servers, List<LimitReport> reports) {
        List<LimitReport> news = new ArrayList<>();
        Moment now = Moment.of(mTimeSource);
        for (LimitReport each : reports) {
            ServerLoad load = servers.byHash(each.serverHash());
            if (load != null && mLimits.received(load.server(), each, now)) {
                news.add(each);
            }
        }
        return news;
    }

    /**
     * Gives what is known here, to be told to an instance that may not know.
     *
     * @return a report for each server
     */
    public List<LimitReport> reports() {
        return mLimits.reports(Moment.of(mTimeSource));
    }

    /**
     * Tells what is believed of each server that named a limit.
     *
     * @return the beliefs
     */
    public List<LimitView> views() {
        return mLimits.views(now());
    }

    /**
     * Counts the answers that named something which is no limit.
     *
     * @return how many since the start
     */
    public long malformed() {
        return mLimits.malformed();
    }

    /** Takes what an answer says; one of a run that is over says nothing of a later. */
    void answered(ServerLoad load, LimitHeader header, long sentNanos) {
        boolean isNothingNew =
                header.kind() == LimitHeader.Kind.ABSENT && mLimits.isUnknown(load.server().id());
        if (!isNothingNew && !load.isTerminated()) {
            mLimits.answered(load.server(), header, sentNanos, Moment.of(mTimeSource));
        }
    }

    void retain(Set<BackendServerId> servers) {
        mLimits.retain(servers);
    }

    /** Tells whether no server has named a limit lately. */
    boolean isEmpty() {
        return mLimits.isEmpty();
    }

    boolean isLimited(ServerLoad load, long nowNanos) {
        return mLimits.isLimited(load.server(), nowNanos);
    }

    boolean hasPermit(ServerLoad load, long nowNanos) {
        return mLimits.hasPermit(load.server(), nowNanos);
    }

    boolean tryPermit(ServerLoad load, long nowNanos) {
        return mLimits.tryPermit(load.server(), nowNanos);
    }

    double ownPerSecond(ServerLoad load, long nowNanos) {
        return mLimits.ownPerSecond(load.server(), nowNanos);
    }

    /** Gives the part of the keys that a server takes, less than 1 just after its limit ended. */
    double share(ServerLoad load, long nowNanos) {
        return mLimits.share(load.server(), nowNanos);
    }

    private long now() {
        return mTimeSource.monotonicNanos();
    }

    private final class Output implements LimitListener {

        @Override
        public void onViewChanged(LimitView belief) {
            mLog.viewChanged(new ViewChange.ServerLimit(belief));
        }

        @Override
        public void onReport(LimitReport report) {
            mOutlet.accept(report);
        }

        @Override
        public void onMalformed(BackendServerId server) {
            mLog.viewChanged(new ViewChange.MalformedLimit(server));
        }
    }
}
