package io.masticpond.core.configuration;

import io.masticpond.core.configuration.ConfigurationDifference.Kind;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import net.jqwik.api.Example;

/**
 * Tests of {@link ConfigurationPlanner}: a plan predicts the effects of an intent, and no plan is
 * made for an invalid content.
 */
class ConfigurationPlannerTest {

    private static final Configuration BASE =
            new Configuration(
                    new ConfigurationVersion(7),
                    Optional.of(new PlanId("p")),
                    ConfigurationFixture.valid());

    @Example
    void reportsAllFaultsTogether() {
        List<String> faults =
                plan(new ConfigurationIntent.Replace(faulty()), PlanObservations.NONE)
                        .getLeft()
                        .stream()
                        .map(ConfigurationFault::toString)
                        .toList();
        for (String expected :
                List.of(
                        "$.regions[1]",
                        "availability zone casa-1 is stated twice",
                        "$.links[0],",
                        "$.sites[0].zone",
                        "$.clientBlocks[0].block, message=A client block must have no bits",
                        "$.clientBlocks[1].block, message=The prefix length",
                        "$.clientBlocks[1].site",
                        "$.clientBlocks[2].block, message=The address",
                        "$.clientBlocks[3].block, message=The prefix length",
                        "$.clientBlocks[4].block, message=A client block needs a slash",
                        "$.clientBlocks[6].block, message=The client block",
                        "$.services[1].backendServers[0].id",
                        "$.services[1].backendServers[0].address",
                        "$.services[1].backendServers[1].zone",
                        "$.services[1].backendServers[1].address",
                        "$.services[1].prices[0].region",
                        "$.services[1].spending.timeZone",
                        "$.services[1].spending.shifts[1]")) {
            Assert.isTrue(
                    faults.stream().anyMatch(fault -> fault.contains(expected)),
                    "No fault '%s' in %s.",
                    expected,
                    faults);
        }
    }

    @Example
    void rejectsChangeThatLeavesDanglingReferences() {
        ConfigurationChange change =
                new ConfigurationChange(
                        ConfigurationContent.EMPTY,
                        new ConfigurationRemoval(
                                List.of(new RegionId("fes")),
                                List.of(),
                                List.of(),
                                List.of(),
                                List.of()));
        List<ConfigurationFault> faults =
                plan(new ConfigurationIntent.Merge(change), PlanObservations.NONE).getLeft();
        Assert.isTrue(faults.size() == 3, "The faults were %s.", faults);
    }

    @Example
    void rejectsChangeWithDuplicateEntry() {
        ConfigurationContent put =
                new ConfigurationContent(
                        List.of(),
                        List.of(),
                        List.of(
                                ConfigurationFixture.service("a", 1),
                                ConfigurationFixture.service("a", 2)),
                        List.of(),
                        List.of());
        Assert.isTrue(
                plan(
                                new ConfigurationIntent.Merge(
                                        new ConfigurationChange(put, ConfigurationRemoval.NONE)),
                                PlanObservations.NONE)
                        .isLeft(),
                "Two entries of one name were accepted.");
    }

    @Example
    void differencesNameTheFieldThatChanged() {
        Plan plan = plan(putService(9), PlanObservations.NONE).get();
        Assert.isTrue(
                plan.differences()
                        .contains(
                                new ConfigurationDifference(
                                        "services[layout-view].backendServers[layout-view-1].slots",
                                        Kind.CHANGED,
                                        "4",
                                        "9")),
                "The differences are %s.",
                plan.differences());
        Assert.isTrue(plan.base().number() == 7, "The base is %s.", plan.base());
    }

    @Example
    void distributesUseAboveSlotsAndWarns() {
        Plan plan = plan(putService(2), new BusyObservations()).get();
        double total = plan.loads().stream().mapToDouble(PredictedLoad::slotsInUse).sum();
        Assert.isTrue(total <= 4, "More slots are in use than there are: %s.", plan.loads());
        assertWarned(plan, "would use");
        assertWarned(plan, "If region casa failed");
        assertWarned(plan, "below what is allotted");
        assertWarned(plan, "would reach the cap");
    }

    private static ConfigurationContent faulty() {
        ServiceSpecification valid = ConfigurationFixture.service("layout-view", 4);
        ServiceSpecification invalid =
                new ServiceSpecification(
                        new ServiceId("cut-dispatch"),
                        2_000,
                        List.of(),
                        List.of(
                                valid.backendServers().get(0),
                                new BackendServerSpecification(
                                        new io.masticpond.core.id.BackendServerId("b"),
                                        new ZoneId("nowhere-1"),
                                        "example.org:80",
                                        1,
                                        1,
                                        false)),
                        List.of(new PriceSpecification(new RegionId("nowhere"), 1)),
                        Optional.of(
                                new SpendingSpecification(
                                        "Africa/Nowhere",
                                        List.of(
                                                ConfigurationFixture.shift("a", 22, 6),
                                                ConfigurationFixture.shift("b", 5, 9)))));
        return new ConfigurationContent(
                List.of(ConfigurationFixture.region("casa"), ConfigurationFixture.region("casa")),
                List.of(new LinkSpecification(new RegionId("casa"), new RegionId("casa"), 1, 1)),
                List.of(valid, invalid),
                List.of(new SiteSpecification(new SiteId("s"), new ZoneId("gone-1"))),
                List.of(
                        new ClientBlockSpecification("10.0.0.1/8", new SiteId("s")),
                        new ClientBlockSpecification("10.0.0.0/33", new SiteId("t")),
                        new ClientBlockSpecification("localhost/8", new SiteId("s")),
                        new ClientBlockSpecification("::ffff:10.1.0.0/16", new SiteId("s")),
                        new ClientBlockSpecification("10.2.0.1", new SiteId("s")),
                        new ClientBlockSpecification("10.3.0.0/16", new SiteId("s")),
                        new ClientBlockSpecification("::ffff:10.3.0.0/112", new SiteId("s"))));
    }

    private static void assertWarned(Plan plan, String text) {
        Assert.isTrue(
                plan.warnings().stream().anyMatch(warning -> warning.contains(text)),
                "No warning '%s' in %s.",
                text,
                plan.warnings());
    }

    private static ConfigurationIntent putService(int slots) {
        return new ConfigurationIntent.Merge(
                new ConfigurationChange(
                        new ConfigurationContent(
                                List.of(),
                                List.of(),
                                List.of(ConfigurationFixture.service("layout-view", slots)),
                                List.of(),
                                List.of()),
                        ConfigurationRemoval.NONE));
    }

    private static io.vavr.control.Either<List<ConfigurationFault>, Plan> plan(
            ConfigurationIntent intent, PlanObservations observations) {
        return new ConfigurationPlanner(observations)
                .plan(intent, BASE, new PlanId("q"), "ops", Instant.EPOCH);
    }

    /**
     * Observations of 3.5 used slots in each region, and of an allotted amount above the planned
     * cap.
     */
    private static final class BusyObservations implements PlanObservations {

        @Override
        public OptionalDouble slotsInUse(ServiceId service, RegionId region) {
            return OptionalDouble.of(3.5);
        }

        @Override
        public OptionalDouble requestsPerSecond(ServiceId service, RegionId region) {
            return OptionalDouble.of(100);
        }

        @Override
        public OptionalLong allottedMicros(ServiceId service, String shift) {
            return OptionalLong.of(1_000_001);
        }
    }
}
