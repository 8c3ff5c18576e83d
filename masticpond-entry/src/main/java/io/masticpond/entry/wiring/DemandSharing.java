package io.masticpond.entry.wiring;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandKey;
import io.masticpond.core.capacity.DemandReport;
import io.masticpond.core.capacity.DemandSource;
import io.masticpond.core.capacity.DemandTotals;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.DemandCodec;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.request.RequestFlow;
import io.masticpond.entry.settings.EntrySettings;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Exchange of the demand at each instance. Two instances of each availability zone aggregate its
 * demand: each instance reports its own to them in turn and receives that of all others, and the
 * first of them reports the sum to the other zones. Nothing is sent while load control is active
 * for no service of this instance.
 */
@Singleton
final class DemandSharing {

    private static final long REPORT_PERIOD_MILLIS = 250;

    /** The period of reports between zones, where traffic is expensive. */
    private static final long REPORT_ZONES_PERIOD_MILLIS = 500;

    /**
     * Number of instances above which each reports only every second time, which keeps its reports
     * and their replies below 2 KB/s at 410 instances.
     */
    private static final int MANY_INSTANCES = 128;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final PeerInstance mSelf;
    private final LoadControlActivation mActivation;
    private final DemandTotals mTotals;
    private final RegionBalancing mRegions;
    private final Map<Integer, ZoneId> mZones;
    private final ZoneAggregators mAggregators;
    private final DemandExchange mExchange;
    private DemandSource mSource = DemandSource.NONE;
    private long mReports;
    private boolean mWasActive;

    @Inject
    DemandSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            TimeSource timeSource,
            RequestFlow flow,
            HeartbeatService peers,
            PeerInstance self,
            LoadControlActivation activation,
            DemandTotals totals,
            RegionBalancing regions,
            EntrySettings settings) {
        mTraffic = traffic;
        mControl = control;
        mTimeSource = timeSource;
        mFlow = flow;
        mPeers = peers;
        mSelf = self;
        mActivation = activation;
        mTotals = totals;
        mRegions = regions;
        mZones =
                settings.zones().keySet().stream()
                        .collect(
                                Collectors.toMap(
                                        DemandExchange::hash, zone -> zone, (one, other) -> one));
        mAggregators = new ZoneAggregators(peers, self, "demand");
        mExchange =
                new DemandExchange(
                        self,
                        mAggregators,
                        this::send,
                        part -> mTraffic.execute(() -> apply(part)));
    }

    /** Sets the source of this instance's demand. To be called before the start. */
    void setSource(DemandSource source) {
        mSource = Assert.notNull(source, "A source of demand");
    }

    /** Starts sending and receiving. */
    void start() {
        mPeers.registerReceiver(
                DemandCodec.VERSION,
                (sender, content) ->
                        DemandCodec.read(content).ifPresent(part -> receive(sender, part)));
        mTraffic.execute(mRegions::start);
        mTraffic.scheduleWithFixedDelay(
                this::report, REPORT_PERIOD_MILLIS, REPORT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        mControl.scheduleWithFixedDelay(
                () -> mExchange.reportToZones(mTimeSource.monotonicNanos()),
                REPORT_ZONES_PERIOD_MILLIS,
                REPORT_ZONES_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Collects this instance's demand, on the traffic thread, and reports it. */
    private void report() {
        long now = mTimeSource.monotonicNanos();
        boolean isActive =
                mFlow.servers().services().stream()
                        .anyMatch(service -> mActivation.isActive(service, now));
        int senders = mPeers.shareholders();
        mTotals.setSendingInstances(senders);
        Map<DemandKey, Demand> demand = isActive ? mSource.demand(now) : Map.of();
        mRegions.update(demand, now);
        if (!isActive) {
            if (mWasActive) {
                mControl.execute(mExchange::suspend);
            }
        } else if (senders <= MANY_INSTANCES || mReports++ % 2 == 0) {
            DemandReport report = DemandReport.ofInstance(demand);
            mControl.execute(() -> mExchange.report(report, mTimeSource.monotonicNanos()));
        }
        mWasActive = isActive;
    }

    private void receive(ServerAddress sender, DemandCodec.Part part) {
        PeerInstance reporter = mAggregators.instance(sender);
        if (reporter != null) {
            mExchange.receive(reporter, part, mTimeSource.monotonicNanos());
        }
    }

    private void send(List<PeerInstance> receivers, DemandCodec.Part part) {
        mPeers.sendDatagram(receivers, out -> DemandCodec.write(part, out));
    }

    /** Applies the demand of other instances, on the traffic thread. */
    private void apply(DemandCodec.Part part) {
        long now = mTimeSource.monotonicNanos();
        if (part.kind() == DemandCodec.Kind.OTHERS) {
            mTotals.received(mSelf.zone(), part.part(), part.parts(), part.report(), now);
            return;
        }
        part.zones()
                .forEach(
                        (hash, report) -> {
                            ZoneId zone = mZones.get(hash);
                            if (zone != null && !zone.equals(mSelf.zone())) {
                                mTotals.received(zone, part.part(), part.parts(), report, now);
                            }
                        });
    }
}
