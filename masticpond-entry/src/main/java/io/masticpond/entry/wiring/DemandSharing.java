package io.masticpond.entry.wiring;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandAggregator;
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
import java.util.HashMap;
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
    private final DemandAggregator mAggregator = new DemandAggregator();
    private final ZoneAggregators mAggregators;
    private DemandSource mSource = DemandSource.NONE;
    private long mReports;

    /** Whether a service was active at the last report. For the control thread only. */
    private boolean mIsActive;

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
                                        DemandSharing::hash, zone -> zone, (one, other) -> one));
        mAggregators = new ZoneAggregators(peers, self, "demand");
    }

    private static int hash(ZoneId zone) {
        return zone.value().hashCode();
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
                this::reportToZones,
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
        boolean isDue = senders <= MANY_INSTANCES || mReports++ % 2 == 0;
        if (isDue) {
            DemandReport report = DemandReport.ofInstance(demand);
            mControl.execute(() -> reportToAggregator(isActive, report));
        }
    }

    private void reportToAggregator(boolean isActive, DemandReport report) {
        mIsActive = isActive;
        PeerInstance aggregator = isActive ? mAggregators.next() : null;
        if (aggregator == null) {
            return;
        }
        if (aggregator.id().equals(mSelf.id())) {
            long now = mTimeSource.monotonicNanos();
            mAggregator.received(mSelf.id(), 0, 1, report, now);
            DemandReport others = mAggregator.forInstance(mSelf.id(), now);
            Map<Integer, DemandReport> zones = otherZones(now);
            mTraffic.execute(
                    () -> {
                        apply(new DemandCodec.Part(DemandCodec.Kind.OTHERS, 0, 1, others));
                        apply(new DemandCodec.Part(0, 1, zones));
                    });
            return;
        }
        send(List.of(aggregator), DemandCodec.Kind.INSTANCE, report);
    }

    private Map<Integer, DemandReport> otherZones(long nowNanos) {
        Map<Integer, DemandReport> zones = new HashMap<>();
        mAggregator.otherZones(nowNanos).forEach((zone, report) -> zones.put(hash(zone), report));
        return zones;
    }

    private void receive(ServerAddress sender, DemandCodec.Part part) {
        PeerInstance reporter = mAggregators.instance(sender);
        if (reporter == null) {
            return;
        }
        boolean isOwnZone = reporter.zone().equals(mSelf.zone());
        if (isOwnZone == (part.kind() == DemandCodec.Kind.ZONE)) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        switch (part.kind()) {
            case INSTANCE -> {
                mAggregator.received(reporter.id(), part.part(), part.parts(), part.report(), now);
                if (part.part() == 0) {
                    reply(reporter, now);
                }
            }
            case ZONE ->
                    mAggregator.received(
                            reporter.zone(), part.part(), part.parts(), part.report(), now);
            case OTHERS, OTHER_ZONES -> mTraffic.execute(() -> apply(part));
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void reply(PeerInstance reporter, long nowNanos) {
        List<PeerInstance> receiver = List.of(reporter);
        send(receiver, DemandCodec.Kind.OTHERS, mAggregator.forInstance(reporter.id(), nowNanos));
        Map<Integer, DemandReport> zones = otherZones(nowNanos);
        int parts = DemandCodec.parts(zones);
        for (int part = 0; part < parts && !zones.isEmpty(); part++) {
            send(receiver, new DemandCodec.Part(part, parts, zones));
        }
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

    private void reportToZones() {
        if (!mIsActive || !mAggregators.isFirst()) {
            return;
        }
        List<PeerInstance> others = mAggregators.ofOtherZones();
        if (!others.isEmpty()) {
            DemandReport sum = mAggregator.ofZone(mTimeSource.monotonicNanos());
            send(others, DemandCodec.Kind.ZONE, sum);
        }
    }

    private void send(List<PeerInstance> receivers, DemandCodec.Kind kind, DemandReport report) {
        int parts = DemandCodec.parts(report);
        for (int part = 0; part < parts; part++) {
            send(receivers, new DemandCodec.Part(kind, part, parts, report));
        }
    }

    private void send(List<PeerInstance> receivers, DemandCodec.Part part) {
        mPeers.sendDatagram(receivers, out -> DemandCodec.write(part, out));
    }
}
