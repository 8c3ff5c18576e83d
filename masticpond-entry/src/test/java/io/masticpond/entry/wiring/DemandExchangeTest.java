package io.masticpond.entry.wiring;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.capacity.Demand;
import io.masticpond.core.capacity.DemandKey;
import io.masticpond.core.capacity.DemandReport;
import io.masticpond.core.capacity.WorkspaceHash;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.entry.peer.DemandCodec;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.peer.PeerView;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests which messages about demand instances exchange, and what they know afterwards. */
class DemandExchangeTest {

    private static final ServiceId SERVICE = new ServiceId("preview");
    private static final int UDP_HEADER_BYTES = 28;

    private final Random mRandom = new Random(11);
    private final List<PeerInstance> mPeers = new ArrayList<>();
    private final Map<PeerInstance, DemandExchange> mExchanges = new HashMap<>();
    private final Map<PeerInstance, Map<Integer, DemandReport>> mKnown = new HashMap<>();
    private final Map<PeerInstance, Long> mSentBytes = new HashMap<>();
    private final Set<ZoneId> mCut = new HashSet<>();
    private final List<Runnable> mInFlight = new ArrayList<>();
    private double mLoss;
    private long mNowMillis;

    private void create(int zones, int instancesPerZone) {
        for (int each = 0; each < zones * instancesPerZone; each++) {
            int zone = each / instancesPerZone;
            mPeers.add(
                    new PeerInstance(
                            new InstanceId("instance-" + each),
                            1,
                            new ZoneId("zone-" + zone),
                            new RegionId("region-" + zone / 2),
                            new ServerAddress("127.0.0.1", 1_000 + each),
                            new ServerAddress("127.0.0.1", 10_000 + each),
                            true,
                            1));
        }
        PeerView view =
                new PeerView() {
                    @Override
                    public List<PeerInstance> alive() {
                        return mPeers;
                    }

                    @Override
                    public int shareholders() {
                        return mPeers.size();
                    }
                };
        for (PeerInstance self : mPeers) {
            Map<Integer, DemandReport> known = new HashMap<>();
            mKnown.put(self, known);
            mExchanges.put(
                    self,
                    new DemandExchange(
                            self,
                            new ZoneAggregators(view, self, "demand"),
                            (receivers, part) -> send(self, receivers, part),
                            part -> {
                                known.putAll(part.zones());
                                if (part.kind() == DemandCodec.Kind.OTHERS) {
                                    known.put(DemandExchange.hash(self.zone()), part.report());
                                }
                            }));
        }
    }

    /** Delivers a datagram once, twice, later or not at all. */
    private void send(PeerInstance from, List<PeerInstance> receivers, DemandCodec.Part part) {
        ByteBuf content = Unpooled.buffer();
        DemandCodec.write(part, content);
        for (PeerInstance receiver : receivers) {
            if (receiver.equals(from)) {
                continue;
            }
            mSentBytes.merge(from, (long) content.readableBytes() + UDP_HEADER_BYTES, Long::sum);
            boolean isCut = mCut.contains(from.zone()) != mCut.contains(receiver.zone());
            int copies = isCut || mRandom.nextDouble() < mLoss ? 0 : 1;
            copies += copies == 1 && mRandom.nextDouble() < mLoss ? 1 : 0;
            for (int each = 0; each < copies; each++) {
                Runnable delivery =
                        () ->
                                mExchanges
                                        .get(receiver)
                                        .receive(
                                                from,
                                                DemandCodec.read(content.slice().skipBytes(1))
                                                        .orElseThrow(),
                                                TimeUnit.MILLISECONDS.toNanos(mNowMillis));
                if (mRandom.nextDouble() < mLoss) {
                    mInFlight.add(delivery);
                } else {
                    delivery.run();
                }
            }
        }
    }

    private void run(int millis, int services) {
        for (long end = mNowMillis + millis; mNowMillis < end; ) {
            mNowMillis += 250;
            long now = TimeUnit.MILLISECONDS.toNanos(mNowMillis);
            List<Runnable> late = new ArrayList<>(mInFlight);
            mInFlight.clear();
            late.forEach(Runnable::run);
            for (PeerInstance each : mPeers) {
                Map<DemandKey, Demand> demand = new HashMap<>();
                for (int service = 0; service < services; service++) {
                    ServiceId id = service == 0 ? SERVICE : new ServiceId("service-" + service);
                    demand.put(new DemandKey(id, 1, WorkspaceHash.OTHERS), new Demand(10, 10));
                }
                mExchanges.get(each).report(DemandReport.ofInstance(demand), now);
                if (mNowMillis % 500 == 0) {
                    mExchanges.get(each).reportToZones(now);
                }
            }
        }
    }

    private double known(PeerInstance at, ZoneId zone) {
        DemandReport report = mKnown.get(at).get(DemandExchange.hash(zone));
        return report == null
                ? 0
                : report.demands().values().stream().mapToDouble(Demand::perSecond).sum();
    }

    private static ZoneId zone(int index) {
        return new ZoneId("zone-" + index);
    }

    @Example
    void eachInstanceKnowsDemandOfAllOthers() {
        create(6, 4);
        run(2_000, 1);
        for (PeerInstance at : mPeers) {
            for (int zone = 0; zone < 6; zone++) {
                double own = at.zone().equals(zone(zone)) ? 10 : 0;
                assertThat(known(at, zone(zone))).isEqualTo(40 - own);
            }
        }
    }

    /** Guards against sums that drift when datagrams are lost, late or doubled. */
    @Example
    void lostLateAndDoubledDatagrams() {
        create(6, 4);
        mLoss = 0.1;
        for (int each = 0; each < 20; each++) {
            run(500, 1);
            for (PeerInstance at : mPeers) {
                assertThat(known(at, zone(0))).isLessThanOrEqualTo(40);
            }
        }
        for (PeerInstance at : mPeers) {
            assertThat(known(at, zone(5))).isGreaterThanOrEqualTo(20);
        }
    }

    /** Guards against demand of a region that cannot be reached in the replies of aggregators. */
    @Example
    void cutRegionDropsOutOfRepliesAndReturns() {
        create(6, 4);
        run(2_000, 1);
        mCut.addAll(List.of(zone(0), zone(1)));
        run(1_500, 1);
        mKnown.values().forEach(Map::clear);
        run(1_000, 1);
        PeerInstance inside = mPeers.get(0);
        PeerInstance outside = mPeers.get(20);
        assertThat(known(inside, zone(1))).isEqualTo(40);
        assertThat(known(inside, zone(3))).isZero();
        assertThat(known(outside, zone(0))).isZero();
        assertThat(known(outside, zone(3))).isEqualTo(40);
        mCut.clear();
        run(1_000, 1);
        assertThat(known(inside, zone(3))).isEqualTo(40);
    }

    /** Guards against messages of an instance that believes to be in another zone. */
    @Example
    void messagesOfWrongZoneAreIgnored() {
        create(2, 2);
        run(2_000, 1);
        DemandReport nonsense =
                DemandReport.ofInstance(
                        Map.of(
                                new DemandKey(SERVICE, 1, WorkspaceHash.OTHERS),
                                new Demand(6_000, 0)));
        DemandExchange receiver = mExchanges.get(mPeers.get(0));
        for (DemandCodec.Kind kind : List.of(DemandCodec.Kind.OTHERS, DemandCodec.Kind.INSTANCE)) {
            receiver.receive(mPeers.get(3), new DemandCodec.Part(kind, 0, 1, nonsense), 1);
        }
        receiver.receive(
                mPeers.get(1), new DemandCodec.Part(DemandCodec.Kind.ZONE, 0, 1, nonsense), 1);
        run(1_000, 1);
        assertThat(known(mPeers.get(0), zone(0))).isEqualTo(10);
        assertThat(known(mPeers.get(0), zone(1))).isEqualTo(20);
    }

    /** Guards against reports whose size grows with the fleet; prints the traffic. */
    @Example
    void trafficOfAnInstance() {
        create(6, 4);
        run(2_000, 3);
        mSentBytes.clear();
        run(10_000, 3);
        long greatest = mSentBytes.values().stream().mapToLong(Long::longValue).max().orElse(0);
        long least = mSentBytes.values().stream().mapToLong(Long::longValue).min().orElse(0);
        System.out.printf(
                "demand, 24 instances: %d to %d bytes/s sent%n", least / 10, greatest / 10);
        assertThat(least / 10).isLessThan(500);
        assertThat(greatest / 10).isLessThan(8_000);
    }
}
