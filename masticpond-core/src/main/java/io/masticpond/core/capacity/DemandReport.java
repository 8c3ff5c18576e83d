package io.masticpond.core.capacity;

import io.masticpond.core.support.Assert;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Demand by group over a number of instances.
 *
 * @param demands the demand of each group
 * @param instances the number of instances
 * @since 0.3
 */
public record DemandReport(Map<DemandGroup, Demand> demands, int instances) {

    /** Number of workspaces of a service that an instance reports separately. */
    static final int MAXIMUM_WORKSPACES = 20;

    /** Validates the components. */
    public DemandReport {
        demands = Map.copyOf(demands);
        Assert.notNegative(instances, "A number of instances");
    }

    /**
     * Creates the report of one instance. Only the workspaces of each service with the greatest
     * demand are listed; the others of the same priority are added up.
     *
     * @param demand the demand of the instance
     * @return the report
     */
    public static DemandReport ofInstance(Map<DemandKey, Demand> demand) {
        Map<Integer, List<Map.Entry<DemandKey, Demand>>> services = new HashMap<>();
        for (Map.Entry<DemandKey, Demand> each : demand.entrySet()) {
            int service = DemandGroup.hash(each.getKey().service());
            services.computeIfAbsent(service, hash -> new ArrayList<>()).add(each);
        }
        Map<DemandGroup, Demand> demands = new HashMap<>();
        for (List<Map.Entry<DemandKey, Demand>> service : services.values()) {
            service.sort(
                    Comparator.comparingDouble(
                            (Map.Entry<DemandKey, Demand> each) -> -each.getValue().perSecond()));
            int listed = 0;
            for (Map.Entry<DemandKey, Demand> each : service) {
                DemandGroup group = DemandGroup.of(each.getKey());
                boolean isListed = !group.equals(group.total()) && listed++ < MAXIMUM_WORKSPACES;
                demands.merge(isListed ? group : group.total(), each.getValue(), Demand::plus);
            }
        }
        return new DemandReport(demands, 1);
    }

    /**
     * Adds up the workspaces of each service and priority.
     *
     * @return the report without workspaces
     */
    public DemandReport totals() {
        Map<DemandGroup, Demand> totals = new HashMap<>();
        demands.forEach((group, demand) -> totals.merge(group.total(), demand, Demand::plus));
        return new DemandReport(totals, instances);
    }
}
