package io.masticpond.measure.control;

import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.MembershipTimings;
import io.masticpond.core.membership.OwnState;
import io.masticpond.core.time.SystemTimeSource;
import io.masticpond.core.timeline.HybridLogicalClock;
import io.masticpond.core.timeline.Timeline;
import io.masticpond.daemon.instance.KeyRing;
import io.masticpond.daemon.instance.LinkSettings;
import io.masticpond.daemon.instance.LinkStatistics;
import io.masticpond.daemon.instance.NettyInstanceLinks;
import io.masticpond.daemon.membership.MembershipService;
import io.masticpond.daemon.platform.ListedInstance;
import io.masticpond.daemon.platform.ObjectStore;
import io.masticpond.protocol.generated.HeadroomEntry;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/** Control plane of one daemon: its links and its membership service. */
final class ControlNode implements AutoCloseable {

    private static final SystemTimeSource sTime = new SystemTimeSource();
    private static final KeyRing KEYS =
            new KeyRing(
                    "measure",
                    Map.of("measure", "only-for-measures".getBytes(StandardCharsets.UTF_8)));
    private static final HeadroomEntry HEADROOM =
            HeadroomEntry.newBuilder()
                    .setService("layout-view")
                    .setRegion("casa")
                    .setUsableSlots(56)
                    .setInFlight(31)
                    .setExpectedWaitNanos(1_000_000)
                    .setStep("EXACT")
                    .build();

    private final NettyInstanceLinks mLinks;
    private final MembershipService mMembership;
    private final ListedInstance mListed;

    ControlNode(int number, ZoneId zone, ObjectStore store, long seed) {
        InstanceId id = new InstanceId("atlas-" + zone + "-" + number);
        Incarnation run = new Incarnation(id, sTime.instant().toEpochMilli());
        mLinks =
                new NettyInstanceLinks(
                        run, LinkSettings.of("127.0.0.1:0", KEYS), sTime, seed + number);
        String address = "127.0.0.1:" + mLinks.start().getPort();
        mListed = new ListedInstance(id, zone, address, false);
        mMembership =
                new MembershipService(
                        new OwnState(run, zone, address, "127.0.0.1:8080", "127.0.0.1:8081"),
                        List.of(),
                        MembershipTimings.DEFAULT,
                        mLinks,
                        store,
                        new HybridLogicalClock(sTime),
                        Timeline.NONE,
                        sTime,
                        seed + number);
        mMembership.setHeadroomSupplier(() -> List.of(HEADROOM));
    }

    ListedInstance listedInstance() {
        return mListed;
    }

    void start() {
        mMembership.start();
    }

    int liveCount() {
        return mMembership.view().live().size();
    }

    LinkStatistics linkStatistics() {
        return mLinks.statistics();
    }

    @Override
    public void close() {
        mMembership.close();
        mLinks.close();
    }
}
