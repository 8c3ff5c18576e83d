package io.masticpond.core.region;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.admission.DegradationStep;
import io.masticpond.core.admission.Headroom;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.Shard;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import io.masticpond.core.time.ManualTimeSource;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;

/**
 * Tests the admitters of shards when instances terminate or are partitioned, and the choice of a
 * shard.
 */
final class ShardScopeTest {

    private static final Configuration CONFIGURATION = RegionFixture.configuration(Map.of(), 0);
    private static final Shard FIRST = new Shard(RegionFixture.SERVICE, RegionFixture.CASA, 0);
    private static final Shard SECOND = new Shard(RegionFixture.SERVICE, RegionFixture.CASA, 1);

    @Example
    void assignsEachServerToOneShard() {
        for (ShardScope scope : ShardScope.values()) {
            List<Shard> shards =
                    scope.shards(CONFIGURATION, RegionFixture.SERVICE, RegionFixture.CASA);
            List<Object> servers = new ArrayList<>();
            shards.forEach(shard -> servers.addAll(scope.servers(CONFIGURATION, shard)));
            assertThat(servers)
                    .containsExactlyInAnyOrderElementsOf(
                            CONFIGURATION.backendServers(
                                    RegionFixture.SERVICE, RegionFixture.CASA));
        }
    }

    @Example
    void usesAdmittersOfZoneWhileOneIsLive() {
        assertThat(admitters(SECOND, MemberState.LIVE, Set.of()))
                .containsExactly(new InstanceId("c"));
    }

    @Example
    void usesAdmittersOfRegionWhenZoneHasNone() {
        assertThat(admitters(SECOND, MemberState.DEAD, Set.of()))
                .containsExactlyInAnyOrder(new InstanceId("a"), new InstanceId("b"));
    }

    @Example
    void doesNotReplaceAdmittersOfZoneThatMayBePartitioned() {
        assertThat(admitters(SECOND, MemberState.DEAD, Set.of(new InstanceId("c")))).isEmpty();
        assertThat(admitters(SECOND, MemberState.SUSPECT, Set.of(new InstanceId("c")))).isEmpty();
        assertThat(admitters(FIRST, MemberState.DEAD, Set.of(new InstanceId("c")))).hasSize(2);
    }

    @Example
    void choosesOwnZoneWhileWaitCostsLessThanDistance() {
        ShardChooser chooser = new ShardChooser(Duration.ofMillis(2));
        List<Shard> shards = List.of(FIRST, SECOND);
        Headroom free = new Headroom(20, 0, 0, 0, DegradationStep.EXACT);
        Headroom shortWait = new Headroom(20, 20, 1, 1_000_000, DegradationStep.EXACT);
        Headroom longWait = new Headroom(20, 20, 9, 9_000_000, DegradationStep.EXACT);
        for (int i = 0; i < 4; i++) {
            assertThat(chooser.choose(shards, 1, Map.of(FIRST, free, SECOND, shortWait)))
                    .isEqualTo(SECOND);
            assertThat(chooser.choose(shards, 1, Map.of(FIRST, free, SECOND, longWait)))
                    .isEqualTo(FIRST);
        }
    }

    @Example
    void rotatesShardsWithoutFreshHeadroom() {
        ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
        ShardHeadrooms headrooms = new ShardHeadrooms(time, Duration.ofSeconds(1));
        ShardChooser chooser = new ShardChooser(Duration.ofMillis(2));
        List<Shard> shards = List.of(FIRST, SECOND);
        headrooms.observe(FIRST, new Headroom(20, 1, 0, 0, DegradationStep.EXACT));
        headrooms.observe(SECOND, new Headroom(20, 20, 9, 900, DegradationStep.EXACT));
        assertThat(chooser.choose(shards, -1, headrooms.fresh(shards))).isEqualTo(FIRST);
        time.advance(Duration.ofSeconds(2));
        Set<Shard> chosen = new HashSet<>();
        chosen.add(chooser.choose(shards, -1, headrooms.fresh(shards)));
        chosen.add(chooser.choose(shards, -1, headrooms.fresh(shards)));
        assertThat(chosen).as("stale headroom must not keep all requests on one shard").hasSize(2);
    }

    @Example
    void countsRequestsSentSinceLastReport() {
        ManualTimeSource time = new ManualTimeSource(Instant.EPOCH);
        ShardHeadrooms headrooms = new ShardHeadrooms(time, Duration.ofSeconds(1));
        headrooms.observe(FIRST, new Headroom(20, 18, 0, 0, DegradationStep.EXACT));
        headrooms.recordSent(FIRST);
        headrooms.recordSent(FIRST);
        headrooms.recordSent(FIRST);
        assertThat(headrooms.fresh(List.of(FIRST)).get(FIRST).freeSlots()).isZero();
        headrooms.observe(FIRST, new Headroom(20, 18, 0, 0, DegradationStep.EXACT));
        assertThat(headrooms.fresh(List.of(FIRST)).get(FIRST).freeSlots()).isEqualTo(2);
    }

    /**
     * Returns the admitters for two live instances in the first zone and one with the given state
     * in the second.
     */
    private static List<InstanceId> admitters(
            Shard shard, MemberState state, Set<InstanceId> missing) {
        List<Member> members =
                List.of(
                        member("a", "casa-1", MemberState.LIVE),
                        member("b", "casa-1", MemberState.LIVE),
                        member("c", "casa-2", state));
        return ShardScope.ZONE.admitters(CONFIGURATION, shard, members, missing);
    }

    private static Member member(String id, String zone, MemberState state) {
        return new Member(
                new Incarnation(new InstanceId(id), 1),
                new ZoneId(zone),
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                state,
                new ConfigurationVersion(1));
    }
}
