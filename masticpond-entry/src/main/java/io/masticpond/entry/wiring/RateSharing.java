package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.RateTotals;
import io.masticpond.core.limit.RateUsage;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.RateCodec;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Carries what instances do with the rates of workspaces. Two instances of each availability zone
 * add up for it: each instance tells them in turn what it does and hears what all others do, and
 * the first of them tells the other zones. So only sums cross zones.
 */
@Singleton
final class RateSharing {

    private static final long REPORT_MILLIS = 200;

    /** Between zones, where bytes are dear. */
    private static final long REPORT_ZONES_MILLIS = 400;

    /** One may be down without having been noticed. */
    private static final int AGGREGATORS = 2;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final PeerInstance mSelf;
    private final RateTotals mTotals = new RateTotals();
    private List<PeerInstance> mAlive = List.of();
    private Map<ServerAddress, PeerInstance> mByAddress = Map.of();
    private Map<ZoneId, List<PeerInstance>> mAggregators = Map.of();
    private int mParts = 1;
    private long mTurn;

    @Inject
    RateSharing(
            @TrafficThread EventLoop traffic,
            @ControlThread EventLoop control,
            TimeSource timeSource,
            RequestFlow flow,
            HeartbeatService peers,
            PeerInstance self) {
        mTraffic = traffic;
        mControl = control;
        mTimeSource = timeSource;
        mFlow = flow;
        mPeers = peers;
        mSelf = self;
    }

    /** Begins to tell and to hear. */
    void start() {
        mPeers.registerReceiver(
                RateCodec.VERSION,
                (sender, content) ->
                        RateCodec.read(content).ifPresent(part -> receive(sender, part)));
        mTraffic.scheduleWithFixedDelay(
                this::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
        mControl.scheduleWithFixedDelay(
                this::reportToZones,
                REPORT_ZONES_MILLIS,
                REPORT_ZONES_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Takes what this instance does, on the traffic thread. */
    private void report() {
        SharedRates rates = mFlow.authenticator().rates();
        if (rates.isEmpty()) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        rates.setInstanceCount(mPeers.shareholders(), now);
        Map<Integer, RateUsage> uses = rates.report(now);
        int parts = 1 + rates.size() / RateCodec.MAXIMUM_ENTRIES;
        mControl.execute(() -> reportToAggregators(uses, parts));
    }

    private void reportToAggregators(Map<Integer, RateUsage> uses, int parts) {
        mParts = parts;
        look();
        List<PeerInstance> adders = aggregators(mSelf.zone());
        if (adders.isEmpty()) {
            return;
        }
        PeerInstance adder = adders.get((int) (mTurn++ % adders.size()));
        if (adder.id().equals(mSelf.id())) {
            receiveOwn(uses);
            return;
        }
        for (int part = 0; part < parts; part++) {
            send(List.of(adder), new RateCodec.Part(RateCodec.Kind.INSTANCE, part, parts, 1, uses));
        }
    }

    private void receiveOwn(Map<Integer, RateUsage> uses) {
        long now = mTimeSource.monotonicNanos();
        mTotals.received(mSelf.id(), 0, uses, now);
        RateTotals.Sum others = mTotals.forInstance(mSelf.id(), 0, now);
        mTraffic.execute(() -> take(part(RateCodec.Kind.OTHERS, 0, 1, others)));
    }

    private static RateCodec.Part part(
            RateCodec.Kind kind, int part, int parts, RateTotals.Sum sum) {
        return new RateCodec.Part(kind, part, parts, sum.instances(), sum.uses());
    }

    private void receive(ServerAddress sender, RateCodec.Part part) {
        look();
        PeerInstance teller = mByAddress.get(sender);
        if (teller == null) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        switch (part.kind()) {
            case INSTANCE -> {
                mTotals.received(teller.id(), part.part(), part.uses(), now);
                RateTotals.Sum others = mTotals.forInstance(teller.id(), part.part(), now);
                send(
                        List.of(teller),
                        part(RateCodec.Kind.OTHERS, part.part(), part.parts(), others));
            }
            case ZONE -> {
                RateTotals.Sum sum = new RateTotals.Sum(part.uses(), part.instances());
                mTotals.received(teller.zone(), part.part(), sum, now);
            }
            case OTHERS -> mTraffic.execute(() -> take(part));
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void take(RateCodec.Part part) {
        long now = mTimeSource.monotonicNanos();
        mFlow.authenticator().rates().received(part.uses(), part::covers, part.instances(), now);
    }

    private void reportToZones() {
        look();
        List<PeerInstance> own = aggregators(mSelf.zone());
        if (own.isEmpty() || !own.get(0).id().equals(mSelf.id())) {
            return;
        }
        List<PeerInstance> others = new ArrayList<>();
        mAggregators.forEach(
                (zone, adders) -> {
                    if (!zone.equals(mSelf.zone())) {
                        others.addAll(adders);
                    }
                });
        long now = mTimeSource.monotonicNanos();
        for (int part = 0; part < mParts && !others.isEmpty(); part++) {
            send(others, part(RateCodec.Kind.ZONE, part, mParts, mTotals.ofZone(part, now)));
        }
    }

    private void send(List<PeerInstance> hearers, RateCodec.Part part) {
        mPeers.sendDatagram(hearers, out -> RateCodec.write(part, out));
    }

    private List<PeerInstance> aggregators(ZoneId zone) {
        return mAggregators.getOrDefault(zone, List.of());
    }

    /** Draws anew who adds up, when other instances are alive than before. */
    private void look() {
        List<PeerInstance> alive = mPeers.alive();
        if (alive == mAlive) {
            return;
        }
        mAlive = alive;
        mByAddress = new HashMap<>();
        Map<ZoneId, List<PeerInstance>> zones = new HashMap<>();
        for (PeerInstance each : alive) {
            mByAddress.put(each.internal(), each);
            zones.computeIfAbsent(each.zone(), zone -> new ArrayList<>()).add(each);
        }
        mAggregators = new HashMap<>();
        zones.forEach(
                (zone, members) ->
                        mAggregators.put(
                                zone,
                                PeerOrder.first("rates/" + zone.value(), members, AGGREGATORS)));
    }
}
