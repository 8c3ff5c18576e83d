package io.masticpond.entry.control;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.masticpond.core.capacity.ServiceLoadView;
import io.masticpond.core.capacity.ServiceLoadView.RefusalCount;
import io.masticpond.core.capacity.ServiceLoadView.RegionCapacity;
import io.masticpond.core.fleet.FleetSnapshot;
import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.fleet.ServerAddress;
import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.loadcontrol.LoadControlSettings;
import io.masticpond.core.reachability.ReachabilityState;
import io.masticpond.core.routing.RequestLimits;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.routing.ServiceRules;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

/** Tests the document on the load of services, with and without load control. */
class LoadDocumentTest {

    private static final ServiceId SERVICE = new ServiceId("lookup");
    private static final ZoneId ZONE = new ZoneId("north-1");
    private static final RegionId REGION = new RegionId("north");
    private static final BackendServerId SERVER = new BackendServerId("s-1");

    private final LoadControlActivation mActivation =
            new LoadControlActivation(LoadControlSettings.DEFAULT);
    private final LoadSources mSources = new LoadSources(mActivation);

    /** Guards against a document that is empty or fails where no server reports its speed. */
    @Example
    void serviceWithoutLoadControlIsShownWithTheReason() {
        ObjectNode document = document(0);
        assertThat(document)
                .hasToString(
                        "{\"service\":\"lookup\",\"mode\":\"automatic\",\"active\":false,"
                                + "\"reason\":\"no-times-reported\",\"reachability\":\"reachable\","
                                + "\"regions\":"
                                + "[{\"region\":\"north\",\"weight\":1.0}]}");
    }

    /** Guards against a value that decisions are based on but that operators cannot see. */
    @Example
    void serviceWithLoadControlIsShownWithAllValuesAndTheirAges() {
        mActivation.recordTimeReport(SERVICE, millis(100));
        mSources.setRegionWeights((service, server, now) -> 0.5);
        mSources.setSpeeds(
                now ->
                        List.of(
                                new ServiceSpeedView(
                                        SERVICE,
                                        millis(450),
                                        List.of(
                                                new ServiceSpeedView.SlowServer(
                                                        SERVER, 2.5, millis(70))))));
        mSources.setLoads(
                now ->
                        List.of(
                                new ServiceLoadView(
                                        SERVICE,
                                        true,
                                        true,
                                        740.04,
                                        0.97,
                                        millis(613),
                                        Map.of(REGION, new RegionCapacity(456, 460.5)),
                                        Map.of(ZONE, 900.0),
                                        Map.of(ZONE, 300.0),
                                        millis(180),
                                        List.of(new RefusalCount(1, "w", "share", 7)))));
        ObjectNode document = document(millis(400));
        assertThat(document.path("active").asBoolean()).isTrue();
        assertThat(document.path("reason").asText()).isEqualTo("times-reported");
        assertThat(document.path("reportAgeMillis").asLong()).isEqualTo(300);
        assertThat(document.path("fullness").asDouble()).isEqualTo(0.97);
        assertThat(document.path("occupationMillis").asLong()).isEqualTo(613);
        assertThat(document.path("demandAgeMillis").asLong()).isEqualTo(180);
        assertThat(document.path("speedPersistenceMillis").asLong()).isEqualTo(450);
        assertThat(document.path("regions"))
                .hasToString(
                        "[{\"region\":\"north\",\"slots\":456,\"inFlight\":460.5,\"free\":0.0,"
                                + "\"weight\":0.5}]");
        assertThat(document.path("zones"))
                .hasToString(
                        "[{\"zone\":\"north-1\",\"demandPerSecond\":900.0,"
                                + "\"sharePerSecond\":300.0}]");
        assertThat(document.path("refusals"))
                .hasToString(
                        "[{\"cause\":\"share\",\"priority\":1,\"zone\":\"north-1\","
                                + "\"workspace\":\"w\",\"count\":7}]");
        assertThat(document.path("slowServers"))
                .hasToString("[{\"server\":\"s-1\",\"slowdown\":2.5,\"ageMillis\":70}]");
    }

    private ObjectNode document(long nowNanos) {
        ServiceRules rules = new ServiceRules(SERVICE, "/health", 10, Duration.ZERO, 5);
        RoutingConfiguration routing =
                new RoutingConfiguration(
                        1, List.of(), Map.of(SERVICE, rules), RequestLimits.DEFAULT);
        ServerAddress address = new ServerAddress("127.0.0.1", 1_000);
        RegisteredServer server = new RegisteredServer(SERVER, SERVICE, address, ZONE, 6, false, 0);
        FleetSnapshot fleet =
                new FleetSnapshot(1, Optional.of(routing), Map.of(SERVER, server), Set.of());
        List<ServiceLoadSnapshot> snapshots =
                mSources.take(
                        fleet,
                        any -> Optional.of(REGION),
                        any -> ReachabilityState.REACHABLE,
                        nowNanos);
        assertThat(snapshots).hasSize(1);
        ObjectNode document = JsonFormat.object();
        LoadDocument.write(snapshots.get(0), ZONE, document);
        return document;
    }

    private static long millis(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }
}
