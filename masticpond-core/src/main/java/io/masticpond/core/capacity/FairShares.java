package io.masticpond.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Weighted max-min allocation of capacity.
 *
 * @since 0.3
 */
public final class FairShares {

    private FairShares() {}

    /**
     * Divides capacity so that no share can grow without reducing one that is smaller relative to
     * its weight. A group whose demand is below its part by weight receives its demand, whatever
     * the other groups demand, and what it leaves goes to the others.
     *
     * @param <G> the type of the groups
     * @param capacity the capacity, in any unit; a negative one counts as 0
     * @param demands the demand of each group in the same unit; a negative one, or one that is not
     *     a number, counts as 0
     * @param weight the weight of a group, above 0
     * @return the share of each group, at most its demand
     */
    public static <G> Map<G, Double> maxMin(
            double capacity, Map<G, Double> demands, ToDoubleFunction<? super G> weight) {
        List<Claim<G>> claims = new ArrayList<>(demands.size());
        double remainingWeight = 0;
        for (Map.Entry<G, Double> each : demands.entrySet()) {
            double demand = each.getValue() > 0 ? each.getValue() : 0;
            Claim<G> claim =
                    new Claim<>(each.getKey(), demand, weight.applyAsDouble(each.getKey()));
            claims.add(claim);
            remainingWeight += claim.weight();
        }
        claims.sort(Comparator.comparingDouble(Claim::level));
        Map<G, Double> shares = new HashMap<>();
        double remaining = Math.max(0, capacity);
        for (Claim<G> claim : claims) {
            double part = remaining * Math.min(1, claim.weight() / remainingWeight);
            double share = Math.min(claim.demand(), part);
            shares.put(claim.group(), share);
            remaining -= share;
            remainingWeight -= claim.weight();
        }
        return shares;
    }

    /** Demand of a group with its weight. */
    private record Claim<G>(G group, double demand, double weight) {

        double level() {
            return demand / weight;
        }
    }
}
