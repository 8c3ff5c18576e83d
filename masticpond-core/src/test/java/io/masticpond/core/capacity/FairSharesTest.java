package io.masticpond.core.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.Size;
import org.assertj.core.data.Offset;

/**
 * Guards against a division that gives out more than there is, leaves capacity unused while a group
 * wants it, or lets one group's demand take from a group that asks for less than an equal part.
 */
class FairSharesTest {

    private static final Offset<Double> CLOSE = Offset.offset(1e-6);

    @Example
    void smallDemandsAreMetAndTheRestIsDividedByWeight() {
        Map<String, Double> shares =
                FairShares.maxMin(
                        100,
                        Map.of("small", 10.0, "large", 500.0, "double", 500.0),
                        group -> group.equals("double") ? 2 : 1);
        assertThat(shares.get("small")).isEqualTo(10, CLOSE);
        assertThat(shares.get("large")).isEqualTo(30, CLOSE);
        assertThat(shares.get("double")).isEqualTo(60, CLOSE);
    }

    @Example
    void demandThatIsNoNumberCountsAsNone() {
        Map<String, Double> demands = new HashMap<>();
        demands.put("broken", Double.NaN);
        demands.put("negative", -5.0);
        demands.put("sound", 40.0);
        Map<String, Double> shares = FairShares.maxMin(30, demands, group -> 1);
        assertThat(shares).containsEntry("broken", 0.0).containsEntry("negative", 0.0);
        assertThat(shares.get("sound")).isEqualTo(30, CLOSE);
    }

    @Property(seed = "1", tries = 500)
    void givesOutAllThatIsWantedAndNoMore(
            @ForAll @DoubleRange(min = 0, max = 1000) double capacity,
            @ForAll @Size(min = 1, max = 12)
                    List<@DoubleRange(min = 0, max = 7000) Double> demands) {
        Map<Integer, Double> byGroup = byIndex(demands);
        Map<Integer, Double> shares = FairShares.maxMin(capacity, byGroup, group -> group + 1);
        double wanted = demands.stream().mapToDouble(Double::doubleValue).sum();
        double given = shares.values().stream().mapToDouble(Double::doubleValue).sum();
        assertThat(given).isEqualTo(Math.min(wanted, capacity), CLOSE);
        shares.forEach(
                (group, share) ->
                        assertThat(share).isBetween(0.0, byGroup.get(group) + CLOSE.value));
    }

    @Property(seed = "2", tries = 500)
    void groupBelowItsEqualPartIsMetWhateverTheOthersDemand(
            @ForAll @DoubleRange(min = 1, max = 1000) double capacity,
            @ForAll @Size(min = 2, max = 12)
                    List<@DoubleRange(min = 0, max = 7000) Double> demands) {
        Map<Integer, Double> byGroup = byIndex(demands);
        double equalPart = capacity / demands.size();
        Map<Integer, Double> shares = FairShares.maxMin(capacity, byGroup, group -> 1);
        byGroup.forEach(
                (group, demand) ->
                        assertThat(shares.get(group))
                                .isGreaterThanOrEqualTo(Math.min(demand, equalPart) - CLOSE.value));
    }

    @Property(seed = "3", tries = 500)
    void noGroupHasMoreThanAnUnmetOneRelativeToItsWeight(
            @ForAll @DoubleRange(min = 1, max = 1000) double capacity,
            @ForAll @Size(min = 2, max = 12)
                    List<@DoubleRange(min = 0, max = 7000) Double> demands) {
        Map<Integer, Double> byGroup = byIndex(demands);
        Map<Integer, Double> shares = FairShares.maxMin(capacity, byGroup, group -> group + 1);
        for (int unmet = 0; unmet < demands.size(); unmet++) {
            if (shares.get(unmet) > byGroup.get(unmet) - CLOSE.value) {
                continue;
            }
            double level = shares.get(unmet) / (unmet + 1);
            shares.forEach(
                    (group, share) ->
                            assertThat(share / (group + 1))
                                    .isLessThanOrEqualTo(level + CLOSE.value));
        }
    }

    private static Map<Integer, Double> byIndex(List<Double> demands) {
        Map<Integer, Double> byIndex = new HashMap<>();
        for (int each = 0; each < demands.size(); each++) {
            byIndex.put(each, demands.get(each));
        }
        return byIndex;
    }
}
