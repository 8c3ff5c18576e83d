package io.masticpond.core.configuration;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ConfigurationVersion;
import io.masticpond.core.id.OperationName;
import io.masticpond.core.id.PlanId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.SiteId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.request.OperationKind;
import java.time.Instant;
import java.time.LocalTime;
import java.util.List;
import java.util.Optional;

/** Factory of contents and plans for the tests of this package. */
final class ConfigurationFixture {

    static final ConfigurationLogLimits LIMITS =
            new ConfigurationLogLimits(
                    8, change -> 1 + change.put().services().size() + change.put().sites().size());

    private ConfigurationFixture() {}

    /**
     * Returns a content of two regions with two zones each, and one service with a backend server
     * in each region.
     */
    static ConfigurationContent valid() {
        return new ConfigurationContent(
                List.of(region("casa"), region("fes")),
                List.of(
                        new LinkSpecification(
                                new RegionId("casa"), new RegionId("fes"), 20_000, 0)),
                List.of(service("layout-view", 4)),
                List.of(new SiteSpecification(new SiteId("north"), new ZoneId("fes-1"))),
                List.of(new ClientBlockSpecification("10.1.0.0/16", new SiteId("north"))));
    }

    static RegionSpecification region(String name) {
        return new RegionSpecification(
                new RegionId(name), List.of(new ZoneId(name + "-1"), new ZoneId(name + "-2")));
    }

    static ServiceSpecification service(String name, int slots) {
        return new ServiceSpecification(
                new ServiceId(name),
                2_000,
                List.of(
                        new OperationSpecification(
                                new OperationName("view"), "GET", "/", OperationKind.READ, 5)),
                List.of(server(name + "-1", "casa-1", slots), server(name + "-2", "fes-2", slots)),
                List.of(new PriceSpecification(new RegionId("casa"), 20)),
                Optional.of(
                        new SpendingSpecification(
                                "Africa/Casablanca",
                                List.of(shift("day", 6, 22), shift("night", 22, 6)))));
    }

    static BackendServerSpecification server(String name, String zone, int slots) {
        int port = 1_024 + Math.floorMod(name.hashCode(), 60_000);
        return new BackendServerSpecification(
                new BackendServerId(name), new ZoneId(zone), "127.1.1.1:" + port, slots, 9, false);
    }

    static ShiftSpecification shift(String name, int startHour, int endHour) {
        return new ShiftSpecification(
                name, LocalTime.of(startHour, 0), LocalTime.of(endHour, 0), 1_000_000);
    }

    /** Creates a plan that sets the zone of a site to mark that it was applied. */
    static Plan plan(String id, long base) {
        ConfigurationContent put =
                new ConfigurationContent(
                        List.of(),
                        List.of(),
                        List.of(),
                        List.of(new SiteSpecification(new SiteId(id), new ZoneId("z"))),
                        List.of());
        return new Plan(
                new PlanId(id),
                new ConfigurationVersion(base),
                new ConfigurationChange(put, ConfigurationRemoval.NONE),
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                "ops",
                Instant.EPOCH);
    }
}
