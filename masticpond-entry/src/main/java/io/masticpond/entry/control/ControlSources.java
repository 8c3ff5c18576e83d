package io.masticpond.entry.control;

import io.masticpond.core.support.Assert;
import io.masticpond.core.time.TimeSource;
import io.masticpond.entry.log.RecentDecisions;
import io.masticpond.entry.peer.HeartbeatService;
import io.masticpond.entry.peer.PeerInstance;
import io.masticpond.entry.replica.FleetReplica;
import io.masticpond.entry.request.RequestFlow;
import java.util.concurrent.Executor;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

/**
 * The parts that are asked.
 *
 * @param timeSource the clocks
 * @param self this instance
 * @param port the port that operators reach; all instances are taken to have the same
 * @param traffic runs tasks on the traffic thread
 * @param control runs tasks on the control thread
 * @param flow the request path; asked on the traffic thread
 * @param limits the shared limits; asked on the traffic thread
 * @param replica the copy of the store; asked on the control thread
 * @param heartbeats the other instances; asked on the control thread
 * @param ready whether this instance takes new clients
 * @param stopping whether a planned stop has begun
 * @param decisions what was decided lately
 * @since 0.2
 */
public record ControlSources(
        TimeSource timeSource,
        PeerInstance self,
        int port,
        Executor traffic,
        ScheduledExecutorService control,
        RequestFlow flow,
        SharedLimitStatus limits,
        FleetReplica replica,
        HeartbeatService heartbeats,
        BooleanSupplier ready,
        BooleanSupplier stopping,
        RecentDecisions decisions) {

    /** Checks that the parts are given. */
    public ControlSources {
        Assert.notNull(timeSource, "A time source");
        Assert.notNull(self, "An instance");
        Assert.notNull(traffic, "A traffic thread");
        Assert.notNull(control, "A control thread");
        Assert.notNull(flow, "A request path");
        Assert.notNull(limits, "Shared limits");
        Assert.notNull(replica, "A copy of the store");
        Assert.notNull(heartbeats, "Heartbeats");
        Assert.notNull(ready, "A readiness");
        Assert.notNull(stopping, "A state of stopping");
        Assert.notNull(decisions, "Recent decisions");
    }
}
