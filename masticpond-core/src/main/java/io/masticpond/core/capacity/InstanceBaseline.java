package io.masticpond.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Usual demand of all groups of callers at this instance compared with their current demand.
 *
 * <p>If an instance stops, its clients turn to the others, where all groups then send more than
 * usual. The common growth is therefore the weighted median of the growth of the groups, which one
 * group does not determine unless it sends at least half of the usual demand.
 *
 * @param growth how much more than usual the groups send, at least 1
 * @param usualPart the part of the current demand that is within the usual demand, 0 to 1
 * @param perWeight the requests per second that the groups usually send relative to their weights
 */
record InstanceBaseline(double growth, double usualPart, double perWeight) {

    /** Growth below which the median of a few groups is a matter of chance. */
    private static final double MINIMUM_GROWTH = 1.3;

    /** Baseline before the first computation: all demand is usual. */
    static final InstanceBaseline EMPTY = new InstanceBaseline(1, 1, 0);

    /** Demand of one group in requests per second. */
    record GroupDemand(double usual, double current, double weight) {

        private double growth() {
            return usual > 0 ? current / usual : 1;
        }
    }

    static InstanceBaseline of(List<GroupDemand> groups) {
        double usual = 0;
        double current = 0;
        double weight = 0;
        for (GroupDemand each : groups) {
            usual += each.usual();
            current += each.current();
            weight += each.weight();
        }
        if (usual <= 0 || current <= 0) {
            return EMPTY;
        }
        double median = medianGrowth(groups, usual);
        double growth = median < MINIMUM_GROWTH ? 1 : median;
        double within = 0;
        for (GroupDemand each : groups) {
            within += Math.min(growth * each.usual(), each.current());
        }
        return new InstanceBaseline(growth, within / current, usual / weight);
    }

    private static double medianGrowth(List<GroupDemand> groups, double usual) {
        List<GroupDemand> sorted = new ArrayList<>(groups);
        sorted.sort(Comparator.comparingDouble(GroupDemand::growth));
        double sum = 0;
        for (GroupDemand each : sorted) {
            sum += each.usual();
            if (sum >= usual / 2) {
                return each.growth();
            }
        }
        return 1;
    }
}
