package io.masticpond.core.lookup;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.configuration.ClientBlock;
import io.masticpond.core.configuration.ClientBlockSpecification;
import io.masticpond.core.configuration.Configuration;
import io.masticpond.core.configuration.ConfigurationContent;
import io.masticpond.core.configuration.LinkSpecification;
import io.masticpond.core.configuration.RegionSpecification;
import io.masticpond.core.configuration.SiteSpecification;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.Incarnation;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.membership.Member;
import io.masticpond.core.membership.MemberState;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.Example;

/** Tests answers to look-ups when instances, zones and regions are lost. */
final class LookupDeciderTest {

    private static final List<String> REGIONS = List.of("agadir", "casa", "fes");

    @Example
    void returnsNearestFirstAndCoversLossOfZoneAndRegion() {
        List<String> zones = zones(decide(members(MemberState.LIVE), "10.1.2.3"));
        assertThat(zones).containsExactly("casa-2", "casa-2", "casa-1", "fes-1");
    }

    @Example
    void excludesInstancesThatDoNotAdmit() {
        for (MemberState state :
                List.of(MemberState.LEAVING, MemberState.SUSPECT, MemberState.DEAD)) {
            List<Member> members = members(MemberState.LIVE);
            members.replaceAll(
                    member -> member.zone().value().equals("casa-2") ? in(member, state) : member);
            assertThat(zones(decide(members, "10.1.2.3")))
                    .containsExactly("casa-1", "casa-1", "casa-1", "fes-1");
        }
        assertThat(decide(members(MemberState.DEAD), "10.1.2.3").instances()).isEmpty();
    }

    @Example
    void excludesInstancesWithoutConfigurationWhileOthersHaveOne() {
        List<Member> members = members(MemberState.LIVE);
        members.replaceAll(
                member ->
                        member.zone().value().equals("casa-2")
                                ? withoutConfiguration(member)
                                : member);
        assertThat(zones(decide(members, "10.1.2.3")))
                .containsExactly("casa-1", "casa-1", "casa-1", "fes-1");
        members.replaceAll(LookupDeciderTest::withoutConfiguration);
        assertThat(zones(decide(members, "10.1.2.3")))
                .containsExactly("casa-2", "casa-2", "casa-1", "fes-1");
    }

    @Example
    void answerIsIndependentOfMemberOrder() {
        List<Member> members = members(MemberState.LIVE);
        LookupDecision first = decide(members, "10.1.2.3");
        for (int seed = 0; seed < 20; seed++) {
            Collections.shuffle(members, new Random(seed));
            assertThat(decide(members, "10.1.2.3")).isEqualTo(first);
        }
    }

    @Example
    void spreadsClientsEvenlyAndMovesOnlyThoseOfRemovedInstance() {
        List<Member> members = members(MemberState.LIVE);
        LookupDecider before = decider(members);
        members.removeIf(member -> member.id().value().equals("casa-2-a"));
        LookupDecider after = decider(members);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 4000; i++) {
            String address = "10.1." + i / 200 + "." + i % 200;
            String first = first(before, address);
            counts.merge(first, 1, Integer::sum);
            if (!first.equals("casa-2-a")) {
                assertThat(first(after, address)).isEqualTo(first);
            }
        }
        assertThat(counts).hasSize(3);
        assertThat(counts.values()).allMatch(count -> count > 1200 && count < 1470);
    }

    @Example
    void spreadsClientsOfLostRegionOverEquallyNearRegions() {
        List<Member> members = members(MemberState.LIVE);
        members.removeIf(member -> member.zone().value().startsWith("agadir"));
        LookupDecider decider = decider(members);
        Map<String, Integer> counts = new HashMap<>();
        for (int i = 0; i < 200; i++) {
            String first = first(decider, "192.0.2." + i);
            counts.merge(first.substring(0, first.indexOf('-')), 1, Integer::sum);
        }
        assertThat(counts).hasSize(2);
        assertThat(counts.values()).allMatch(count -> count > 70);
    }

    @Example
    void usesOwnZoneForClientsWithoutKnownSite() {
        assertThat(zones(decide(members(MemberState.LIVE), "192.0.2.1")).get(0))
                .isEqualTo("agadir-1");
        LookupDecision unknown = decider(members(MemberState.LIVE)).decide(Optional.empty());
        assertThat(zones(unknown).get(0)).isEqualTo("agadir-1");
    }

    private static String first(LookupDecider decider, String address) {
        return decider.decide(Optional.of(ClientBlock.parse(address).get()))
                .instances()
                .get(0)
                .id()
                .value();
    }

    private static LookupDecision decide(List<Member> members, String address) {
        return decider(members).decide(Optional.of(ClientBlock.parse(address).get()));
    }

    private static LookupDecider decider(List<Member> members) {
        Configuration configuration = configuration();
        ClientBlockTable table = ClientBlockTable.of(configuration.content().clientBlocks()).get();
        return new LookupDecider(
                configuration, table, members, new ZoneId("agadir-1"), LookupParameters.DEFAULT);
    }

    private static List<String> zones(LookupDecision decision) {
        return decision.instances().stream().map(member -> member.zone().value()).toList();
    }

    private static Configuration configuration() {
        List<RegionSpecification> regions = new ArrayList<>();
        for (String region : REGIONS) {
            regions.add(
                    new RegionSpecification(
                            new RegionId(region),
                            List.of(new ZoneId(region + "-1"), new ZoneId(region + "-2"))));
        }
        SiteId site = new SiteId("casa-edge");
        ConfigurationContent content =
                new ConfigurationContent(
                        regions,
                        List.of(
                                new LinkSpecification(
                                        new RegionId("casa"), new RegionId("fes"), 20_000, 0),
                                new LinkSpecification(
                                        new RegionId("agadir"), new RegionId("casa"), 25_000, 0),
                                new LinkSpecification(
                                        new RegionId("agadir"), new RegionId("fes"), 25_000, 0)),
                        List.of(),
                        List.of(new SiteSpecification(site, new ZoneId("casa-2"))),
                        List.of(new ClientBlockSpecification("10.1.0.0/16", site)));
        return new Configuration(new ConfigurationVersion(3), Optional.empty(), content);
    }

    private static List<Member> members(MemberState state) {
        List<Member> members = new ArrayList<>();
        for (String region : REGIONS) {
            for (String zone : List.of(region + "-1", region + "-2")) {
                for (String letter : List.of("a", "b", "c")) {
                    members.add(member(zone + "-" + letter, zone, state));
                }
            }
        }
        return members;
    }

    private static Member member(String id, String zone, MemberState state) {
        return new Member(
                new Incarnation(new InstanceId(id), 1),
                new ZoneId(zone),
                "127.0.0.1:1",
                "127.0.0.1:2",
                "127.0.0.1:3",
                state,
                new ConfigurationVersion(3));
    }

    private static Member withoutConfiguration(Member member) {
        return new Member(
                member.incarnation(),
                member.zone(),
                member.linkAddress(),
                member.callerAddress(),
                member.operatorAddress(),
                member.state(),
                ConfigurationVersion.NONE);
    }

    private static Member in(Member member, MemberState state) {
        return member(member.id().value(), member.zone().value(), state);
    }
}
