package io.masticpond.entry.wiring;

import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.limit.RateTotals;
import io.masticpond.core.limit.RateUsage;
import io.masticpond.core.limit.SharedRates;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.RateCodec;
import io.masticpond.entry.request.RequestFlow;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import javax.inject.Inject;
import javax.inject.Singleton;

/**
 * Exchange of the instances' usage of the rates of workspaces. Two instances of each availability
 * zone aggregate its usage: each instance reports its own usage to them in turn and receives that
 * of all others, and the first of them reports the sum to the other zones. So only sums cross
 * zones.
 */
@Singleton
final class RateSharing {

    private static final long REPORT_PERIOD_MILLIS = 200;

    /** The period of reports between zones, where traffic is expensive. */
    private static final long REPORT_ZONES_PERIOD_MILLIS = 400;

    private final EventLoop mTraffic;
    private final EventLoop mControl;
    private final TimeSource mTimeSource;
    private final RequestFlow mFlow;
    private final HeartbeatService mPeers;
    private final PeerInstance mSelf;
    private final RateTotals mTotals = new RateTotals();
    private final ZoneAggregators mAggregators;
    private int mPartCount = 1;

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
        mAggregators = new ZoneAggregators(peers, self, "rates");
    }

    /** Starts sending and receiving. */
    void start() {
        mPeers.registerReceiver(
                RateCodec.VERSION,
                (sender, content) ->
                        RateCodec.read(content).ifPresent(part -> receive(sender, part)));
        mTraffic.scheduleWithFixedDelay(
                this::report, REPORT_PERIOD_MILLIS, REPORT_PERIOD_MILLIS, TimeUnit.MILLISECONDS);
        mControl.scheduleWithFixedDelay(
                this::reportToZones,
                REPORT_ZONES_PERIOD_MILLIS,
                REPORT_ZONES_PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    /** Collects this instance's usage, on the traffic thread, and reports it. */
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
        mPartCount = parts;
        PeerInstance aggregator = mAggregators.next();
        if (aggregator == null) {
            return;
        }
        if (aggregator.id().equals(mSelf.id())) {
            receiveOwn(uses);
            return;
        }
        for (int part = 0; part < parts; part++) {
            send(
                    List.of(aggregator),
                    new RateCodec.Part(RateCodec.Kind.INSTANCE, part, parts, 1, uses));
        }
    }

    private void receiveOwn(Map<Integer, RateUsage> uses) {
        long now = mTimeSource.monotonicNanos();
        mTotals.received(mSelf.id(), 0, uses, now);
        RateTotals.Sum others = mTotals.forInstance(mSelf.id(), 0, now);
        mTraffic.execute(() -> applyOthers(part(RateCodec.Kind.OTHERS, 0, 1, others)));
    }

    private static RateCodec.Part part(
            RateCodec.Kind kind, int part, int parts, RateTotals.Sum sum) {
        return new RateCodec.Part(kind, part, parts, sum.instances(), sum.uses());
    }

    private void receive(ServerAddress sender, RateCodec.Part part) {
        PeerInstance reporter = mAggregators.instance(sender);
        if (reporter == null) {
            return;
        }
        long now = mTimeSource.monotonicNanos();
        switch (part.kind()) {
            case INSTANCE -> {
                mTotals.received(reporter.id(), part.part(), part.uses(), now);
                RateTotals.Sum others = mTotals.forInstance(reporter.id(), part.part(), now);
                send(
                        List.of(reporter),
                        part(RateCodec.Kind.OTHERS, part.part(), part.parts(), others));
            }
            case ZONE -> {
                RateTotals.Sum sum = new RateTotals.Sum(part.uses(), part.instances());
                mTotals.received(reporter.zone(), part.part(), sum, now);
            }
            case OTHERS -> mTraffic.execute(() -> applyOthers(part));
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void applyOthers(RateCodec.Part part) {
        long now = mTimeSource.monotonicNanos();
        mFlow.authenticator().rates().received(part.uses(), part::covers, part.instances(), now);
    }

    private void reportToZones() {
        if (!mAggregators.isFirst()) {
            return;
        }
        List<PeerInstance> others = mAggregators.ofOtherZones();
        long now = mTimeSource.monotonicNanos();
        for (int part = 0; part < mPartCount && !others.isEmpty(); part++) {
            send(others, part(RateCodec.Kind.ZONE, part, mPartCount, mTotals.ofZone(part, now)));
        }
    }

    private void send(List<PeerInstance> receivers, RateCodec.Part part) {
        mPeers.sendDatagram(receivers, out -> RateCodec.write(part, out));
    }
}
