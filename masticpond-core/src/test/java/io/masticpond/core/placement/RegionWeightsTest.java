package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Example;

/** Tests to which keys the factors of regions apply. */
class RegionWeightsTest {

    private static final ServiceId SERVICE = new ServiceId("service");

    private final ServerChooser mChooser =
            new ServerChooser(
                    PlacementSettings.DEFAULT,
                    new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT));

    private static PlacementRequest request(Set<RegionId> homeRegions) {
        Route route =
                new Route(
                        new RouteId("r"),
                        "h",
                        "/",
                        true,
                        Duration.ofSeconds(2),
                        Duration.ofMillis(400),
                        1,
                        2,
                        true,
                        homeRegions,
                        List.of(new WeightedService(SERVICE, 1)));
        return new PlacementRequest(route, SERVICE, 42, Optional.empty(), 1_000_000_000L);
    }

    /** Guards against load that leaves the regions to which a route is restricted. */
    @Example
    void factorAppliesOnlyToRoutesWithoutHomeRegions() {
        ServerLoad load =
                new ServerLoad(
                        new RegisteredServer(
                                new BackendServerId("server"),
                                SERVICE,
                                new ServerAddress("127.0.0.1", 1),
                                new ZoneId("zone"),
                                4,
                                false,
                                0),
                        Distance.SAME_REGION);
        PlacementRequest anywhere = request(Set.of());
        PlacementRequest restricted = request(Set.of(new RegionId("a"), new RegionId("b")));
        double before = mChooser.preference(load, anywhere, 0, 0);
        mChooser.setRegionWeights((service, server, nowNanos) -> 0.5);
        assertThat(mChooser.preference(load, anywhere, 0, 0)).isEqualTo(2 * before);
        assertThat(mChooser.preference(load, restricted, 0, 0)).isEqualTo(before);
    }

    @Example
    void weightOfOtherRegionFollowsSizeOfAnswers() {
        double small = mChooser.otherRegionWeight(new RouteId("r"));
        assertThat(small).isBetween(0.173, 0.174);
        for (int each = 0; each < 50; each++) {
            mChooser.recordAnswerSize(new RouteId("r"), 90_000);
        }
        assertThat(mChooser.otherRegionWeight(new RouteId("r"))).isLessThan(0.01);
    }
}
