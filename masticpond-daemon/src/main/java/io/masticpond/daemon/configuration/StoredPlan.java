package io.masticpond.daemon.configuration;

import io.masticpond.core.configuration.Plan;
import java.util.List;
import java.util.Optional;

/**
 * Plan as stored at the platform: in its own object, or in parts if it is above a megabyte.
 *
 * @param plan the plan, if it fits into the object
 * @param parts the names of its parts, if it does not fit
 */
record StoredPlan(Optional<Plan> plan, List<String> parts) {

    StoredPlan {
        plan = plan == null ? Optional.empty() : plan;
        parts = parts == null ? List.of() : List.copyOf(parts);
    }
}
