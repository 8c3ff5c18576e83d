package io.masticpond.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Tests of {@link ServiceSplit}: the services of a route receive their shares in any sequence of
 * requests.
 */
final class ServiceSplitTest {

    @Property(seed = "20270302", tries = 300)
    void sharesAreAccurateInEachHundredRequests(
            @ForAll long seed,
            @ForAll @Size(min = 2, max = 5) List<@IntRange(max = 97) Integer> weights) {
        Route route = route("r", weights.stream().mapToInt(Integer::intValue).toArray());
        int total = weights.stream().mapToInt(Integer::intValue).sum();
        ServiceSplit split = new ServiceSplit(seed);
        for (int hundred = 0; hundred < 3; hundred++) {
            Map<String, Integer> counts = counts(split, route, 100);
            for (int index = 0; index < weights.size(); index++) {
                int count = counts.getOrDefault("s" + index, 0);
                double expected = total == 0 ? 0 : 100.0 * weights.get(index) / total;
                assertThat(Math.abs(count - expected)).isLessThanOrEqualTo(3);
                assertThat(weights.get(index) > 0 || count == 0)
                        .as("weight 0 is not chosen")
                        .isTrue();
            }
        }
    }

    @Example
    void sequenceContinuesWhenOtherPartsOfConfigurationChange() {
        Route route = route("r", 1, 3, 7);
        ServiceSplit steady = new ServiceSplit(5);
        ServiceSplit changed = new ServiceSplit(5);
        for (int step = 0; step < 40; step++) {
            changed.retain(
                    new RoutingConfiguration(
                            step,
                            List.of(route, route("other" + step, 1, 1)),
                            Map.of(),
                            RequestLimits.DEFAULT));
            assertThat(changed.choose(route("r", 1, 3, 7))).isEqualTo(steady.choose(route));
        }
    }

    @Example
    void newWeightsApplyFromNextRequest() {
        ServiceSplit split = new ServiceSplit(5);
        counts(split, route("r", 9, 1), 55);
        assertThat(counts(split, route("r", 0, 1), 10)).isEqualTo(Map.of("s1", 10));
    }

    @Example
    void instancesDoNotChooseInLockstep() {
        Route route = route("r", 1, 1, 1, 1);
        Map<String, Integer> firstChoices = new HashMap<>();
        for (long seed = 0; seed < 80; seed++) {
            counts(new ServiceSplit(seed), route, 1)
                    .forEach((k, v) -> firstChoices.merge(k, v, Integer::sum));
        }
        assertThat(firstChoices.values()).allSatisfy(count -> assertThat(count).isBetween(8, 35));
        assertThat(firstChoices).hasSize(4);
    }

    private static Map<String, Integer> counts(ServiceSplit split, Route route, int requests) {
        Map<String, Integer> counts = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            split.choose(route).ifPresent(id -> counts.merge(id.value(), 1, Integer::sum));
        }
        return counts;
    }

    private static Route route(String id, int... weights) {
        List<WeightedService> services = new ArrayList<>();
        for (int weight : weights) {
            services.add(new WeightedService(new ServiceId("s" + services.size()), weight));
        }
        return new Route(
                new RouteId(id),
                "h",
                "/",
                true,
                Duration.ofSeconds(1),
                Duration.ofSeconds(1),
                0,
                2,
                false,
                Set.of(),
                services);
    }
}
