package io.masticpond.core.membership;

import static io.masticpond.core.membership.MembershipFixture.id;
import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.InstanceId;
import java.time.Duration;
import java.util.IntSummaryStatistics;
import net.jqwik.api.Example;

/**
 * Tests of {@link MembershipTable} with the planned fleet: 410 instances in 16 zones of 5 regions.
 */
class MembershipFleetTest {

    private static final int ZONES = 16;
    private static final int INSTANCES = 410;
    private static final int MAXIMUM_NEIGHBORS = 16;
    private static final InstanceId OBSERVER = id("region01", 3);
    private static final Duration DETECTION_TIME = Duration.ofSeconds(3);

    private final MembershipFixture mFixture = new MembershipFixture();

    private void start() {
        for (int zone = 0; zone < ZONES; zone++) {
            int instances = INSTANCES / ZONES + (zone < INSTANCES % ZONES ? 1 : 0);
            mFixture.zone("region" + zone / 3 + zone % 3, instances);
        }
        mFixture.list();
        mFixture.run(Duration.ofSeconds(4));
    }

    private long seenBy(InstanceId subject, MemberState state) {
        return mFixture.mTables.keySet().stream()
                .filter(observer -> !observer.equals(subject))
                .filter(observer -> mFixture.state(observer, subject) == state)
                .count();
    }

    @Example
    void deathAndZonePartitionReachAllInstancesThroughFewNeighbors() {
        start();
        assertAllInstancesKnownThroughFewNeighbors();
        assertDeathReachesAllInstances();
        assertZonePartitionReachesAllInstances();
    }

    private void assertAllInstancesKnownThroughFewNeighbors() {
        IntSummaryStatistics neighbors =
                mFixture.mTables.values().stream()
                        .mapToInt(table -> table.neighbors().size())
                        .summaryStatistics();
        assertThat(neighbors.getMax()).isLessThanOrEqualTo(MAXIMUM_NEIGHBORS);
        assertThat(mFixture.view(OBSERVER).live()).hasSize(INSTANCES);
    }

    private void assertDeathReachesAllInstances() {
        InstanceId dead = id("region42", 5);
        mFixture.mPaused.add(dead);
        mFixture.runUntil(DETECTION_TIME, () -> seenBy(dead, MemberState.DEAD) == INSTANCES - 1);
        mFixture.mPaused.clear();
        mFixture.runUntil(DETECTION_TIME, () -> seenBy(dead, MemberState.LIVE) == INSTANCES - 1);
    }

    private void assertZonePartitionReachesAllInstances() {
        mFixture.partition(
                (from, to) ->
                        from.value().startsWith("region00-") != to.value().startsWith("region00-"));
        mFixture.run(Duration.ofSeconds(4));
        int zone = INSTANCES / ZONES + 1;
        assertThat(mFixture.view(OBSERVER).live()).hasSize(INSTANCES - zone);
        mFixture.partition((from, to) -> false);
        mFixture.run(Duration.ofSeconds(4));
        assertThat(mFixture.view(OBSERVER).live()).hasSize(INSTANCES);
        assertThat(mFixture.view(id("region00", 0)).live()).hasSize(INSTANCES);
    }
}
