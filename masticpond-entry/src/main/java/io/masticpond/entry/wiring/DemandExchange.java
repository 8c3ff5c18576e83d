package io.masticpond.entry.wiring;

import io.masticpond.core.capacity.DemandAggregator;
import io.masticpond.core.capacity.DemandReport;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.DemandCodec;
import io.masticpond.entry.peer.PeerInstance;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/** Rules by which messages about demand are sent and answered. For the control thread only. */
final class DemandExchange {

    private final PeerInstance mSelf;
    private final ZoneAggregators mAggregators;
    private final BiConsumer<List<PeerInstance>, DemandCodec.Part> mSender;
    private final Consumer<DemandCodec.Part> mReceiver;
    private final DemandAggregator mAggregator = new DemandAggregator();
    private boolean mIsActive;

    /**
     * Creates an exchange.
     *
     * @param sender sends a message to some instances
     * @param receiver receives the demand of other instances
     */
    DemandExchange(
            PeerInstance self,
            ZoneAggregators aggregators,
            BiConsumer<List<PeerInstance>, DemandCodec.Part> sender,
            Consumer<DemandCodec.Part> receiver) {
        mSelf = self;
        mAggregators = aggregators;
        mSender = sender;
        mReceiver = receiver;
    }

    /** Returns the hash that identifies a zone in messages. */
    static int hash(ZoneId zone) {
        return zone.value().hashCode();
    }

    /** Reports the demand at this instance to an aggregator of its zone. */
    void report(DemandReport report, long nowNanos) {
        mIsActive = true;
        PeerInstance aggregator = mAggregators.next();
        if (aggregator == null) {
            return;
        }
        if (aggregator.id().equals(mSelf.id())) {
            mAggregator.received(mSelf.id(), 0, 1, report, nowNanos);
            DemandReport others = mAggregator.forInstance(mSelf.id(), nowNanos);
            mReceiver.accept(new DemandCodec.Part(DemandCodec.Kind.OTHERS, 0, 1, others));
            mReceiver.accept(new DemandCodec.Part(0, 1, otherZones(nowNanos)));
            return;
        }
        send(List.of(aggregator), DemandCodec.Kind.INSTANCE, report);
    }

    /** Stops reports until {@link #report} is called again. */
    void suspend() {
        mIsActive = false;
    }

    /** Reports the demand of this zone to the others, if this instance is to do so. */
    void reportToZones(long nowNanos) {
        if (!mIsActive || !mAggregators.isFirst()) {
            return;
        }
        List<PeerInstance> others = mAggregators.ofOtherZones();
        if (!others.isEmpty()) {
            send(others, DemandCodec.Kind.ZONE, mAggregator.ofZone(nowNanos));
        }
    }

    /**
     * Receives a message. Sums of a zone come from other zones, all other messages from the own
     * one.
     */
    void receive(PeerInstance reporter, DemandCodec.Part part, long nowNanos) {
        boolean isOwnZone = reporter.zone().equals(mSelf.zone());
        if (isOwnZone == (part.kind() == DemandCodec.Kind.ZONE)) {
            return;
        }
        switch (part.kind()) {
            case INSTANCE -> {
                mAggregator.received(
                        reporter.id(), part.part(), part.parts(), part.report(), nowNanos);
                if (part.part() == 0) {
                    reply(reporter, nowNanos);
                }
            }
            case ZONE ->
                    mAggregator.received(
                            reporter.zone(), part.part(), part.parts(), part.report(), nowNanos);
            case OTHERS, OTHER_ZONES -> mReceiver.accept(part);
            default -> throw new IllegalStateException("The kind is unknown.");
        }
    }

    private void reply(PeerInstance reporter, long nowNanos) {
        List<PeerInstance> receiver = List.of(reporter);
        send(receiver, DemandCodec.Kind.OTHERS, mAggregator.forInstance(reporter.id(), nowNanos));
        Map<Integer, DemandReport> zones = otherZones(nowNanos);
        int parts = DemandCodec.parts(zones);
        for (int part = 0; part < parts && !zones.isEmpty(); part++) {
            mSender.accept(receiver, new DemandCodec.Part(part, parts, zones));
        }
    }

    private Map<Integer, DemandReport> otherZones(long nowNanos) {
        Map<Integer, DemandReport> zones = new HashMap<>();
        mAggregator.otherZones(nowNanos).forEach((zone, report) -> zones.put(hash(zone), report));
        return zones;
    }

    private void send(List<PeerInstance> receivers, DemandCodec.Kind kind, DemandReport report) {
        int parts = DemandCodec.parts(report);
        for (int part = 0; part < parts; part++) {
            mSender.accept(receivers, new DemandCodec.Part(kind, part, parts, report));
        }
    }
}
