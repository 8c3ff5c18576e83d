package io.masticpond.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

/**
 * Tests that the medians equal those from sorting the values of the other servers separately for
 * each server.
 */
class PeerMediansTest {

    private static final long SECOND = 1_000_000_000L;

    @Property(seed = "12", tries = 300)
    void eachMedianIsThatOfTheOtherServers(@ForAll @IntRange(min = 1, max = 40) int size) {
        Random random = new Random(size);
        List<CallStatistics> all = new ArrayList<>();
        for (int server = 0; server < size; server++) {
            CallStatistics statistics = new CallStatistics(SECOND, 0);
            for (int call = random.nextInt(3); call > 0; call--) {
                statistics.succeeded((1 + random.nextInt(3)) * SECOND, 0);
            }
            all.add(statistics);
        }
        PeerMedians medians =
                new PeerMedians(all, CallStatistics::successes, CallStatistics::meanNanos);
        for (CallStatistics statistics : all) {
            assertThat(Double.valueOf(medians.without(statistics)))
                    .isEqualTo(expectedMedian(statistics, all));
        }
    }

    private static Double expectedMedian(CallStatistics statistics, List<CallStatistics> all) {
        double[] others =
                all.stream()
                        .filter(each -> each != statistics && each.successes() >= 1)
                        .mapToDouble(CallStatistics::meanNanos)
                        .toArray();
        Arrays.sort(others);
        return others.length == 0 ? Double.NaN : others[(others.length - 1) / 2];
    }
}
