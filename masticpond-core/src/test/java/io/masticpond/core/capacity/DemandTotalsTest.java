package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests the sums of demand over all instances when reports are lost, late, doubled or old. */
class DemandTotalsTest {

    private static final ServiceId SERVICE = new ServiceId("lodge");
    private static final ZoneId OWN = new ZoneId("own");
    private static final ZoneId OTHER = new ZoneId("other");
    private static final WorkspaceHash LARGE = new WorkspaceHash(7);

    private final DemandTotals mTotals = new DemandTotals(OWN);

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static DemandGroup group(WorkspaceHash workspace) {
        return new DemandGroup(DemandGroup.hash(SERVICE), 1, workspace);
    }

    private static DemandReport report(int instances, double others, double large) {
        return new DemandReport(
                Map.of(
                        group(WorkspaceHash.OTHERS), new Demand(others, others),
                        group(LARGE), new Demand(large, 0)),
                instances);
    }

    @Example
    void workspacesOfOwnZoneAddUpToDemandOfZone() {
        mTotals.received(OWN, 0, 1, report(3, 20, 5), 0);
        mTotals.received(OTHER, 0, 1, report(4, 30, 0), 0);
        assertThat(mTotals.byZone(SERVICE, 1, 1))
                .isEqualTo(Map.of(OWN, new Demand(25, 20), OTHER, new Demand(30, 30)));
        assertThat(mTotals.byWorkspaceInOwnZone(SERVICE, 1, 1))
                .containsEntry(LARGE, new Demand(5, 0))
                .hasSize(2);
        assertThat(mTotals.byZone(SERVICE, 0, 1)).as("another priority").isEmpty();
        assertThat(mTotals.perSecondByZone(SERVICE, 1)).containsEntry(OWN, 25.0);
        assertThat(mTotals.reportedInstances(1)).isEqualTo(7);
    }

    /** Guards against decisions on reports of instances that are gone. */
    @Example
    void oldReportsAreIgnored() {
        mTotals.received(OWN, 0, 1, report(3, 20, 5), 0);
        mTotals.received(OTHER, 0, 1, report(4, 30, 0), millis(1_000));
        assertThat(mTotals.byZone(SERVICE, 1, millis(1_100))).containsKeys(OWN, OTHER);
        assertThat(mTotals.byZone(SERVICE, 1, millis(1_300))).containsOnlyKeys(OTHER);
        assertThat(mTotals.ageNanos(millis(1_300))).isEqualTo(millis(300));
        assertThat(mTotals.reportedInstances(millis(2_300))).isZero();
        assertThat(mTotals.ageNanos(millis(2_300))).isEqualTo(Long.MAX_VALUE);
    }

    /** Guards against demand that is counted twice when a report needs fewer parts. */
    @Example
    void partsOfLongerReportAreDropped() {
        mTotals.received(OWN, 0, 2, report(3, 20, 0), 0);
        mTotals.received(OWN, 1, 2, report(3, 10, 0), 0);
        assertThat(mTotals.byZone(SERVICE, 1, 1).get(OWN).perSecond()).isEqualTo(30);
        mTotals.received(OWN, 0, 1, report(3, 30, 0), 2);
        assertThat(mTotals.byZone(SERVICE, 1, 3).get(OWN).perSecond()).isEqualTo(30);
    }

    /** Guards against an instance that counts its own demand twice. */
    @Example
    void sumForInstanceLeavesItsOwnReportOut() {
        DemandAggregator aggregator = new DemandAggregator();
        InstanceId one = new InstanceId("one");
        InstanceId two = new InstanceId("two");
        aggregator.received(one, 0, 1, report(1, 20, 5), 0);
        aggregator.received(two, 0, 1, report(1, 1, 2), 0);
        aggregator.received(OTHER, 0, 1, report(6, 9, 0), 0);
        assertThat(aggregator.forInstance(one, 1).demands())
                .containsEntry(group(LARGE), new Demand(2, 0));
        assertThat(aggregator.forInstance(one, 1).instances()).isEqualTo(1);
        assertThat(aggregator.ofZone(1).demands())
                .isEqualTo(Map.of(group(WorkspaceHash.OTHERS), new Demand(28, 21)));
        assertThat(aggregator.otherZones(1)).containsOnlyKeys(OTHER);
        assertThat(aggregator.otherZones(millis(1_300))).isEmpty();
        assertThat(aggregator.ofZone(millis(1_300)).instances()).isZero();
    }

    /** Guards against sums that depend on which datagrams were lost, late or doubled. */
    @Property(tries = 100, seed = "5")
    void lostLateAndDoubledReportsNeverExceedWhatWasReported(@ForAll long seed) {
        Random random = new Random(seed);
        DemandAggregator aggregator = new DemandAggregator();
        List<Runnable> late = new ArrayList<>();
        for (long now = 0; now < 10_000; now += 250) {
            long arrival = millis(now);
            for (int each = 0; each < 4; each++) {
                InstanceId instance = new InstanceId("instance-" + each);
                DemandReport report = report(1, 9 + random.nextDouble(), 0);
                Runnable datagram = () -> aggregator.received(instance, 0, 1, report, arrival);
                switch (random.nextInt(4)) {
                    case 0 -> late.add(datagram);
                    case 1 -> List.of(datagram, datagram).forEach(Runnable::run);
                    case 2 -> datagram.run();
                    default -> assertThat(instance).as("lost").isNotNull();
                }
            }
            Collections.shuffle(late, random);
            while (late.size() > 3) {
                late.remove(0).run();
            }
            DemandReport sum = aggregator.ofZone(arrival);
            double perSecond = sum.demands().values().stream().mapToDouble(Demand::perSecond).sum();
            assertThat(sum.instances()).isLessThanOrEqualTo(4);
            assertThat(perSecond).isBetween(9.0 * sum.instances(), 10.0 * sum.instances());
        }
    }

    /** Guards against reports that grow with the number of workspaces. */
    @Example
    void listsLargestWorkspacesAndAddsUpTheOthers() {
        Map<DemandKey, Demand> demand = new HashMap<>();
        for (int each = 1; each <= 74; each++) {
            demand.put(new DemandKey(SERVICE, 1, new WorkspaceHash(each)), new Demand(each, each));
        }
        DemandReport report = DemandReport.ofInstance(demand);
        assertThat(report.demands()).hasSize(21).containsKey(group(new WorkspaceHash(55)));
        assertThat(report.demands().get(group(WorkspaceHash.OTHERS)).perSecond())
                .isEqualTo(54 * 55 / 2.0);
        assertThat(report.totals().demands().get(group(WorkspaceHash.OTHERS)).perSecond())
                .isEqualTo(74 * 75 / 2.0);
    }
}
