package io.masticpond.entry.control;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.routing.ServiceRules;
import java.util.List;
import java.util.Map;

/**
 * Read access to this instance's shares of the limits that all instances have in common. For the
 * traffic thread only.
 *
 * @since 0.2
 */
public interface SharedLimitStatus {

    /**
     * Returns the usage of the retry budgets.
     *
     * @param nowNanos the monotonic time
     * @return the usage of each service that had a request
     */
    Map<ServiceId, RetryBudgetUsage> budgets(long nowNanos);

    /**
     * Returns the instances that pace requests to a cold backend server, in the view of this
     * instance.
     *
     * @param server the server
     * @param rules the rules of its service
     * @return the owners
     */
    List<InstanceId> owners(RegisteredServer server, ServiceRules rules);

    /**
     * Determines whether a server is treated as cold.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether the server is treated as cold
     */
    boolean isCold(RegisteredServer server, long nowNanos);
}
