package io.masticpond.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

/** Tests of {@link RouteTable}: a request matches the route of its host with the longest prefix. */
final class RouteTableTest {

    private static final String[] SEGMENTS = {"a", "b", "aa", "c"};

    @Example
    void longestPrefixWins() {
        RouteTable table = table("h.example /", "h.example /a/", "h.example /a/b/");
        assertThat(found(table, "h.example", "/a/b/c?x=/a/")).isEqualTo("/a/b/");
        assertThat(found(table, "h.example", "/a/bb/c")).isEqualTo("/a/");
        assertThat(found(table, "h.example", "/?x=/a/b/")).isEqualTo("/");
    }

    @Example
    void prefixDoesNotMatchItsPathWithoutTrailingSlash() {
        RouteTable table = table("h.example /a/");
        assertThat(found(table, "h.example", "/a")).isEqualTo("none");
        assertThat(found(table, "h.example", "/a?/a/")).isEqualTo("none");
        assertThat(found(table, "h.example", "/a/")).isEqualTo("/a/");
    }

    @Example
    void hostMatchIgnoresCaseAndPort() {
        RouteTable table = table("h.example /a/", "[::1] /a/");
        assertThat(found(table, "H.Example:8080", "/a/")).isEqualTo("/a/");
        assertThat(found(table, "[::1]:80", "/a/")).isEqualTo("/a/");
        assertThat(found(table, "[::1]", "/a/")).isEqualTo("/a/");
        assertThat(found(table, "other.example", "/a/")).isEqualTo("none");
        assertThat(found(table, "", "/a/")).isEqualTo("none");
    }

    @Example
    void hostOfAbsoluteTargetTakesPrecedence() {
        RouteTable table = table("h.example /", "h.example /a/");
        assertThat(found(table, "other", "http://H.example:80/a/b")).isEqualTo("/a/");
        assertThat(found(table, "h.example", "http://other/a/b")).isEqualTo("none");
        assertThat(found(table, "", "http://h.example")).isEqualTo("/");
        assertThat(found(table, "", "http://h.example?q=/a/")).isEqualTo("/");
        assertThat(found(table, "h.example", "*")).isEqualTo("none");
        assertThat(found(table, "h.example", "")).isEqualTo("none");
        assertThat(found(table, "h.example", "a/b")).isEqualTo("none");
    }

    @Property(seed = "20270301", tries = 200)
    void agreesWithLinearSearchOfAllRoutes(@ForAll long seed) {
        Random random = new Random(seed);
        List<String> texts = new ArrayList<>();
        for (int index = 0; index < 12; index++) {
            texts.add((random.nextBoolean() ? "h" : "g") + " " + path(random, 3));
        }
        RouteTable table = table(texts.toArray(String[]::new));
        for (int index = 0; index < 30; index++) {
            String path = path(random, 5);
            String target = random.nextBoolean() ? path : path.substring(0, path.length() - 1);
            String expected =
                    texts.stream()
                            .filter(text -> text.startsWith("h "))
                            .map(text -> text.substring(2))
                            .filter(target::startsWith)
                            .max(Comparator.comparingInt(String::length))
                            .orElse("none");
            assertThat(found(table, "h", target)).as(target).isEqualTo(expected);
        }
    }

    private static String path(Random random, int segments) {
        StringBuilder path = new StringBuilder("/");
        for (int count = random.nextInt(segments + 1); count > 0; count--) {
            path.append(SEGMENTS[random.nextInt(SEGMENTS.length)]).append('/');
        }
        return path.toString();
    }

    private static String found(RouteTable table, String host, String target) {
        Optional<Route> route = table.match(host, target);
        return route.map(Route::pathPrefix).orElse("none");
    }

    private static RouteTable table(String... hostsAndPrefixes) {
        List<Route> routes = new ArrayList<>();
        for (String text : hostsAndPrefixes) {
            String[] parts = text.split(" ");
            routes.add(route("r" + routes.size(), parts[0], parts[1]));
        }
        return new RouteTable(new RoutingConfiguration(1, routes, Map.of(), RequestLimits.DEFAULT));
    }

    private static Route route(String id, String host, String prefix) {
        return new Route(
                new RouteId(id),
                host,
                prefix,
                true,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                2,
                false,
                Set.of(),
                List.of(new WeightedService(new ServiceId("s"), 1)));
    }
}
