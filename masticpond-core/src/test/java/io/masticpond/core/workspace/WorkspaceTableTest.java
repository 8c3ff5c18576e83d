package io.masticpond.core.workspace;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.WorkspaceId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.WeightedService;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import net.jqwik.api.Example;

class WorkspaceTableTest {

    private static final RegionId NORTH = new RegionId("north");
    private static final RegionId SOUTH = new RegionId("south");

    private static Workspace workspace(String name, Set<RegionId> homes, String... keys) {
        return new Workspace(
                new WorkspaceId(name),
                Set.copyOf(List.of(keys).stream().map(KeyDigest::of).toList()),
                Optional.empty(),
                OptionalInt.of(0),
                homes);
    }

    private static Route route(Set<RegionId> homes) {
        return new Route(
                new RouteId("route"),
                "host",
                "/a/",
                true,
                Duration.ofSeconds(1),
                Duration.ofMillis(100),
                3,
                2,
                true,
                homes,
                List.of(new WeightedService(new ServiceId("service"), 1)));
    }

    /** A weight of 0 would leave a workspace without a share of a full service. */
    @Example
    void weightIsBoundedAndOneByDefault() {
        Workspace workspace = workspace("a", Set.of(), "key");
        assertThat(workspace.weight()).isEqualTo(1);
        for (double weight : new double[] {0, 0.009, 101, Double.NaN}) {
            assertThatThrownBy(
                            () ->
                                    new Workspace(
                                            workspace.id(),
                                            workspace.keys(),
                                            workspace.limit(),
                                            workspace.priority(),
                                            workspace.homeRegions(),
                                            weight))
                    .isInstanceOf(IllegalArgumentException.class);
        }
    }

    @Example
    void findsEachWorkspaceByItsOwnKeysOnly() {
        WorkspaceTable table =
                new WorkspaceTable(
                        List.of(
                                workspace("one", Set.of(), "a", "b"),
                                workspace("two", Set.of(), "c")));
        assertThat(table.findByKey(KeyDigest.of("b")).orElseThrow().id().value()).isEqualTo("one");
        assertThat(table.findByKey(KeyDigest.of("c")).orElseThrow().id().value()).isEqualTo("two");
        assertThat(table.findByKey(KeyDigest.of("d"))).isEmpty();
        assertThat(table.keyCount()).isEqualTo(3);
    }

    @Example
    void rejectsKeyOfTwoWorkspacesWithoutRevealingIt() {
        List<Workspace> both =
                List.of(
                        workspace("one", Set.of(), "the-secret"),
                        workspace("two", Set.of(), "the-secret"));
        assertThatThrownBy(() -> new WorkspaceTable(both))
                .isInstanceOf(IllegalArgumentException.class)
                .hasMessageContaining("one")
                .hasMessageContaining("two")
                .hasMessageNotContaining("the-secret");
    }

    @Example
    void textFormDoesNotRevealKeys() {
        assertThat(workspace("one", Set.of(), "the-secret").toString())
                .doesNotContain("the-secret");
    }

    @Example
    void priorityOfWorkspaceTakesPrecedence() {
        Route narrowed = route(Set.of()).restrictTo(workspace("one", Set.of())).orElseThrow();
        assertThat(narrowed.priority()).isZero();
    }

    @Example
    void regionsOfRouteAndWorkspaceAreIntersected() {
        Workspace north = workspace("one", Set.of(NORTH));
        assertThat(route(Set.of()).restrictTo(north).orElseThrow().allows(SOUTH)).isFalse();
        assertThat(route(Set.of(NORTH, SOUTH)).restrictTo(north).orElseThrow().homeRegions())
                .containsExactly(NORTH);
        assertThat(route(Set.of(SOUTH)).restrictTo(north))
                .as("an empty intersection must not be taken for all regions")
                .isEmpty();
    }
}
