package io.masticpond.entry.control;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.id.InstanceId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.RetryBudgetUsage;
import io.masticpond.core.routing.ServiceRules;
import java.util.List;
import java.util.Map;

/**
 * Tells how this instance's parts of the shared limits stand. Traffic thread only.
 *
 * @since 0.2
 */
public interface SharedLimitStatus {

    /**
     * Tells how the retry budgets stand.
     *
     * @param nowNanos the monotonic time
     * @return the budget of each service that had a request
     */
    Map<ServiceId, RetryBudgetUsage> budgets(long nowNanos);

    /**
     * Names the instances that keep the pace of a cold backend server, as this one sees it.
     *
     * @param server the server
     * @param rules the rules of its service
     * @return the owners
     */
    List<InstanceId> owners(RegisteredServer server, ServiceRules rules);

    /**
     * Tells whether a server is treated as cold.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether it is
     */
    boolean isCold(RegisteredServer server, long nowNanos);
}
