package io.masticpond.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.limit.CallOutlierDetector;
import io.masticpond.core.limit.CallOutlierDetectorSettings;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.WeightedService;
import io.masticpond.core.support.HashMixer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import net.jqwik.api.Example;

/**
 * Verifies that keys are spread over near and far servers in the same way regardless of the number
 * of servers.
 */
class ServerChooserTest {

    private static final int KEYS = 4_000;

    private final ServerChooser mChooser =
            new ServerChooser(
                    PlacementSettings.DEFAULT,
                    new CallOutlierDetector(CallOutlierDetectorSettings.DEFAULT));

    @Example
    void shareThatLeavesSmallRegionIsIndependentOfServerCount() {
        double few = farShare(2, 14);
        double many = farShare(20, 140);
        assertThat(few).isBetween(0.3, 0.8);
        assertThat(many).isBetween(few - 0.1, few + 0.1);
    }

    @Example
    void regionWithCapacityKeepsMostOfItsKeys() {
        assertThat(farShare(6, 10)).isLessThan(0.3);
        assertThat(farShare(80, 90)).isLessThan(0.3);
    }

    @Example
    void keepsOnlyLargeAnswersInRegion() {
        mChooser.recordAnswerSize(new RouteId("r"), 14_000);
        assertThat(farShare(2, 12)).as("one round trip").isGreaterThan(0.4);
        for (int each = 0; each < 50; each++) {
            mChooser.recordAnswerSize(new RouteId("r"), each % 2 == 0 ? 60_000 : 120_000);
        }
        assertThat(farShare(2, 12)).as("three round trips").isLessThan(0.05);
        mChooser.retain(new RoutingConfiguration(2, List.of(), Map.of(), RequestLimits.DEFAULT));
        assertThat(farShare(2, 12)).as("the route is removed").isGreaterThan(0.4);
    }

    @Example
    void zonesOfOneRegionChooseSameServerWhileCacheMissesAreExpensive() {
        List<ServerLoad> one = region(0);
        List<ServerLoad> other = region(1);
        for (int key = 0; key < KEYS; key++) {
            assertThat(chosen(mChooser, one, key)).isEqualTo(chosen(mChooser, other, key));
        }
    }

    @Example
    void prefersNearOfTwoHomesWhenAllServersCacheObjects() {
        answers(64, 0);
        assertThat(nearShare(region(0))).isBetween(0.7, 0.8);
        assertThat(nearShare(region(1))).isBetween(0.7, 0.8);
        for (int key = 0; key < KEYS; key++) {
            String first = chosen(mChooser, region(0), key);
            String second = chosen(mChooser, region(1), key);
            assertThat(homes(key)).contains(first, second);
        }
    }

    @Example
    void shortQueueMovesKeysOnlyIfOtherHomeCachesObject() {
        answers(64, 0);
        assertThat(leavingShare()).isGreaterThan(0.9);
        answers(32, 32);
        assertThat(leavingShare()).isLessThan(0.1);
    }

    /**
     * Returns the share of the keys that leave their first server if its slots and two places are
     * taken.
     */
    private double leavingShare() {
        int left = 0;
        for (int key = 0; key < KEYS; key++) {
            List<ServerLoad> servers = nearServers();
            String first = chosen(mChooser, servers, key);
            ServerLoad load = find(servers, first);
            for (int each = 0; each < 6; each++) {
                load.requestStarted();
            }
            left += chosen(mChooser, servers, key).equals(first) ? 0 : 1;
        }
        return (double) left / KEYS;
    }

    @Example
    void choiceIsBestOfAllServersUnderAnyLoad() {
        Random random = new Random(31);
        for (int round = 0; round < 400; round++) {
            answers(random.nextInt(20), random.nextInt(20));
            List<ServerLoad> servers = region(round % 2);
            servers = servers.subList(0, 1 + random.nextInt(servers.size()));
            for (ServerLoad server : servers) {
                for (int sent = random.nextInt(30) - 8; sent > 0; sent--) {
                    server.requestStarted();
                }
            }
            PlacementRequest request = request(random.nextInt());
            assertThat(mChooser.choose(servers, request, 0))
                    .contains(mChooser.ranked(servers, request, 0).get(0));
        }
    }

    private void answers(int quick, int slow) {
        for (int each = 0; each < quick + slow; each++) {
            mChooser.recordAnswerTime(
                    new ServiceId("service"), each < quick ? 100 + each % 20 : 400);
        }
    }

    private double nearShare(List<ServerLoad> servers) {
        int near = 0;
        for (int key = 0; key < KEYS; key++) {
            ServerLoad load = find(servers, chosen(mChooser, servers, key));
            near += load.distance() == Distance.SAME_ZONE ? 1 : 0;
        }
        return (double) near / KEYS;
    }

    private List<String> homes(int key) {
        return nearServers().stream()
                .sorted(
                        Comparator.comparingDouble(
                                load -> -mChooser.preference(load, request(key), 0, 0)))
                .limit(2)
                .map(load -> load.server().id().value())
                .toList();
    }

    private static ServerLoad find(List<ServerLoad> servers, String id) {
        return servers.stream()
                .filter(load -> load.server().id().value().equals(id))
                .findAny()
                .orElseThrow();
    }

    private static String chosen(ServerChooser chooser, List<ServerLoad> servers, int key) {
        return chooser.choose(servers, request(key), 0).orElseThrow().load().server().id().value();
    }

    private static PlacementRequest request(int key) {
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
                        Set.of(),
                        List.of(new WeightedService(new ServiceId("service"), 1)));
        return new PlacementRequest(
                route,
                new ServiceId("service"),
                HashMixer.hash("key-" + key),
                Optional.empty(),
                1_000_000_000L);
    }

    private static List<ServerLoad> nearServers() {
        return IntStream.range(0, 20).mapToObj(n -> server(n, Distance.SAME_ZONE)).toList();
    }

    /** Returns twenty servers in two zones, as an instance of one of the zones sees them. */
    private static List<ServerLoad> region(int ownZone) {
        return IntStream.range(0, 20)
                .mapToObj(
                        n ->
                                server(
                                        n,
                                        n % 2 == ownZone
                                                ? Distance.SAME_ZONE
                                                : Distance.SAME_REGION))
                .toList();
    }

    private double farShare(int near, int far) {
        List<ServerLoad> servers = new ArrayList<>();
        for (int each = 0; each < near + far; each++) {
            servers.add(server(each, each < near ? Distance.SAME_ZONE : Distance.OTHER_REGION));
        }
        int left = 0;
        for (int key = 0; key < KEYS; key++) {
            ServerLoad load = mChooser.choose(servers, request(key), 0).orElseThrow().load();
            left += load.distance() == Distance.OTHER_REGION ? 1 : 0;
        }
        return (double) left / KEYS;
    }

    private static ServerLoad server(int number, Distance distance) {
        RegisteredServer server =
                new RegisteredServer(
                        new BackendServerId("server-" + number),
                        new ServiceId("service"),
                        new ServerAddress("127.0.0.1", 1 + number),
                        new ZoneId("zone"),
                        4,
                        false,
                        0);
        return new ServerLoad(server, distance);
    }
}
