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
 * Gate that enforces the limits that backend servers state. It combines the statements in their
 * answers, the reports of other instances, and the requests that this instance sends. For use on
 * the traffic thread only.
 *
 * @since 0.2
 */
public final class ServerLimitGate {

    private final TimeSource mTimeSource;
    private final DecisionLog mLog;
    private final Supplier<List<OwnerCandidate>> mInstances;
    private final IntSupplier mShareholders;
    private final ServerLimits mLimits;
    private Consumer<LimitReport> mReportListener = report -> {};

    /**
     * Creates a gate without any limit.
     *
     * @param settings the settings of limits
     * @param self this instance
     * @param regions the region of each zone
     * @param instances supplies the live instances, this one included
     * @param shareholders supplies the number of instances among which common limits are divided
     * @param timeSource the wall clock and the monotonic clock
     * @param log the log of view changes
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
        mInstances = Assert.notNull(instances, "A supplier of live instances");
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
     * Sets the listener that sends reports to the other instances.
     *
     * @param listener the listener
     */
    public void setReportListener(Consumer<LimitReport> listener) {
        mReportListener = Assert.notNull(listener, "A report listener");
    }

    /**
     * Replaces the settings. Applies to later decisions only.
     *
     * @param settings the settings
     */
    public void applySettings(ServerLimitSettings settings) {
        mLimits.applySettings(settings);
    }

    /** Updates the set of live instances. To be called often. */
    public void refreshInstances() {
        mLimits.updateInstances(mInstances.get(), mShareholders.getAsInt(), now());
    }

    /**
     * Processes the reports of another instance.
     *
     * @param servers the servers that this instance knows
     * @param reports the reports
     * @return the reports that changed the view of this instance
     */
    public List<LimitReport> applyReports(ServerTable servers, List<LimitReport> reports) {
        List<LimitReport> updates = new ArrayList<>();
        Moment now = Moment.of(mTimeSource);
        for (LimitReport each : reports) {
            ServerLoad load = servers.byHash(each.serverHash());
            if (load != null && mLimits.applyReport(load.server(), each, now)) {
                updates.add(each);
            }
        }
        return updates;
    }

    /**
     * Returns the limits known to this instance, to be reported to an instance that may not know
     * them.
     *
     * @return a report for each server
     */
    public List<LimitReport> reports() {
        return mLimits.reports(Moment.of(mTimeSource));
    }

    /**
     * Returns the view of each server that stated a limit.
     *
     * @return the views
     */
    public List<LimitView> views() {
        return mLimits.views(now());
    }

    /**
     * Returns the number of answers with a malformed limit.
     *
     * @return the count since the start of this instance
     */
    public long malformed() {
        return mLimits.malformedCount();
    }

    /**
     * Processes the limit of an answer. An answer of a terminated run is ignored, since it does not
     * apply to a later run.
     */
    void applyAnswer(ServerLoad load, LimitHeader header, long sentNanos) {
        boolean isIrrelevant =
                header.kind() == LimitHeader.Kind.ABSENT && mLimits.isUnknown(load.server().id());
        if (!isIrrelevant && !load.isTerminated()) {
            mLimits.applyAnswer(load.server(), header, sentNanos, Moment.of(mTimeSource));
        }
    }

    void retain(Set<BackendServerId> servers) {
        mLimits.retain(servers);
    }

    /** Determines whether no server has stated a limit recently. */
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

    /** Returns the share of the keys that a server takes, below 1 shortly after its limit ended. */
    double share(ServerLoad load, long nowNanos) {
        return mLimits.share(load.server(), nowNanos);
    }

    private long now() {
        return mTimeSource.monotonicNanos();
    }

    private final class Output implements LimitListener {

        @Override
        public void onViewChanged(LimitView view) {
            mLog.viewChanged(new ViewChange.ServerLimit(view));
        }

        @Override
        public void onReport(LimitReport report) {
            mReportListener.accept(report);
        }

        @Override
        public void onMalformed(BackendServerId server) {
            mLog.viewChanged(new ViewChange.MalformedLimit(server));
        }
    }
}
