package io.masticpond.core.room;

import io.masticpond.core.id.RegionId;
import io.masticpond.core.support.Assert;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Prediction of the utilization of each region of a service. The share of the keys of a region's
 * callers that have their first home in a region is exact for weighted rendezvous hashing: the
 * weights of its servers relative to those of all servers. The weight of a region is lowered in
 * steps of a quarter of an octave, so that instances with slightly different reports agree.
 *
 * <p>Immutable.
 *
 * @since 0.3
 */
public final class RegionRoom {

    /** Maximum number of steps, a factor of 1/64. */
    static final int MAXIMUM_STEPS = 24;

    private static final double STEPS_PER_OCTAVE = 4;

    private final List<RegionId> mRegions;
    private final RegionLoad[] mLoads;
    private final double mOccupationSeconds;
    private final double mFarWeight;

    /**
     * Creates a prediction.
     *
     * @param loads the demand and capacity of each region
     * @param occupationSeconds the mean time that a request occupies a slot, in seconds; 0 if
     *     unknown
     * @param farWeight the weight of a server of another region, relative to one of the caller's
     */
    public RegionRoom(Map<RegionId, RegionLoad> loads, double occupationSeconds, double farWeight) {
        Assert.isTrue(occupationSeconds >= 0, "An occupation must not be negative.");
        Assert.isTrue(farWeight > 0, "The weight of another region must be over 0.");
        Map<RegionId, RegionLoad> sorted = new TreeMap<>(loads);
        mRegions = List.copyOf(sorted.keySet());
        mLoads = sorted.values().toArray(RegionLoad[]::new);
        mOccupationSeconds = occupationSeconds;
        mFarWeight = farWeight;
    }

    /**
     * Returns the factor of a number of steps.
     *
     * @param steps the number of steps
     * @return a factor above 0, at most 1 for a number that is not negative
     */
    public static double factor(int steps) {
        return Math.pow(2, -steps / STEPS_PER_OCTAVE);
    }

    /**
     * Predicts the utilization of each region.
     *
     * @param steps the steps by which the weight of each region is lowered, 0 for missing regions
     * @return the occupied slots relative to the slots, by region with slots; above 1 if requests
     *     wait or are refused
     */
    public Map<RegionId, Double> utilization(Map<RegionId, Integer> steps) {
        double[] utilization = utilization(toArray(steps));
        Map<RegionId, Double> result = new HashMap<>();
        for (int each = 0; each < utilization.length; each++) {
            if (mLoads[each].slots() > 0) {
                result.put(mRegions.get(each), utilization[each]);
            }
        }
        return result;
    }

    /**
     * Returns the greatest share of the keys of a region's callers whose home region changes with
     * the steps.
     *
     * @param before the steps before
     * @param after the steps after
     * @return a share from 0 to 1
     */
    public double movedShare(Map<RegionId, Integer> before, Map<RegionId, Integer> after) {
        int[] stepsBefore = toArray(before);
        int[] stepsAfter = toArray(after);
        double greatest = 0;
        for (int caller = 0; caller < mLoads.length; caller++) {
            double[] from = shares(caller, stepsBefore);
            double[] to = shares(caller, stepsAfter);
            double moved = 0;
            for (int each = 0; each < from.length; each++) {
                moved += Math.max(0, to[each] - from[each]);
            }
            greatest = Math.max(greatest, moved);
        }
        return greatest;
    }

    /**
     * Determines the least steps that bring the utilization of all regions below a threshold, or
     * balance it if there is not enough capacity. Lowers the region with the greatest utilization,
     * step by step, as long as this reduces the greatest utilization and another region has free
     * slots. The result depends on the loads alone; with a lower threshold and tolerance, no region
     * is lowered less.
     *
     * @param threshold the utilization that needs no lowering
     * @param tolerance by how much the greatest utilization may exceed the mean of all regions, in
     *     proportion
     * @return the steps of each region with slots
     */
    public Map<RegionId, Integer> steps(double threshold, double tolerance) {
        int[] steps = new int[mLoads.length];
        double target = Math.max(threshold, (1 + tolerance) * mean());
        double[] utilization = utilization(steps);
        while (true) {
            int fullest = fullest(utilization);
            if (fullest < 0
                    || utilization[fullest] <= target
                    || least(utilization) >= 1
                    || steps[fullest] >= MAXIMUM_STEPS) {
                break;
            }
            steps[fullest]++;
            double[] next = utilization(steps);
            if (next[fullest(next)] >= utilization[fullest]) {
                steps[fullest]--;
                break;
            }
            utilization = next;
        }
        Map<RegionId, Integer> result = new HashMap<>();
        for (int each = 0; each < steps.length; each++) {
            if (mLoads[each].slots() > 0) {
                result.put(mRegions.get(each), steps[each]);
            }
        }
        return result;
    }

    private double mean() {
        double demand = 0;
        double slots = 0;
        for (RegionLoad load : mLoads) {
            demand += load.perSecond();
            slots += load.slots();
        }
        return slots == 0 ? 0 : demand * mOccupationSeconds / slots;
    }

    private double[] utilization(int[] steps) {
        double[] perSecond = new double[mLoads.length];
        for (int caller = 0; caller < mLoads.length; caller++) {
            double[] shares = shares(caller, steps);
            for (int each = 0; each < shares.length; each++) {
                perSecond[each] += mLoads[caller].perSecond() * shares[each];
            }
        }
        for (int each = 0; each < perSecond.length; each++) {
            int slots = mLoads[each].slots();
            perSecond[each] = slots == 0 ? 0 : perSecond[each] * mOccupationSeconds / slots;
        }
        return perSecond;
    }

    private double[] shares(int caller, int[] steps) {
        double[] weights = new double[mLoads.length];
        for (int each = 0; each < weights.length; each++) {
            double distance = each == caller ? 1 : mFarWeight;
            weights[each] = mLoads[each].servers() * distance * factor(steps[each]);
        }
        double sum = Arrays.stream(weights).sum();
        return sum == 0 ? weights : Arrays.stream(weights).map(each -> each / sum).toArray();
    }

    /** Returns the region with the greatest utilization, or -1 if no region has slots. */
    private int fullest(double[] utilization) {
        int fullest = -1;
        for (int each = 0; each < utilization.length; each++) {
            boolean hasSlots = mLoads[each].slots() > 0;
            if (hasSlots && (fullest < 0 || utilization[each] > utilization[fullest])) {
                fullest = each;
            }
        }
        return fullest;
    }

    private double least(double[] utilization) {
        double least = Double.MAX_VALUE;
        for (int each = 0; each < utilization.length; each++) {
            if (mLoads[each].slots() > 0) {
                least = Math.min(least, utilization[each]);
            }
        }
        return least;
    }

    private int[] toArray(Map<RegionId, Integer> steps) {
        return mRegions.stream().mapToInt(region -> steps.getOrDefault(region, 0)).toArray();
    }
}
