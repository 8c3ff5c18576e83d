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
 * Components from which the control documents are built.
 *
 * @param timeSource the time source
 * @param self this instance
 * @param port the port that operators connect to; all instances are assumed to use the same one
 * @param traffic runs tasks on the traffic thread
 * @param control runs tasks on the control thread
 * @param flow the request path; read on the traffic thread
 * @param limits the shared limits; read on the traffic thread
 * @param loads the sources of the load of services; read on the traffic thread
 * @param replica the replica of the store; read on the control thread
 * @param heartbeats the service that knows the other instances; read on the control thread
 * @param ready whether this instance accepts new clients
 * @param stopping whether a planned stop has begun
 * @param decisions the recent decisions
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
        LoadSources loads,
        FleetReplica replica,
        HeartbeatService heartbeats,
        BooleanSupplier ready,
        BooleanSupplier stopping,
        RecentDecisions decisions) {

    /** Checks that all components are present. */
    public ControlSources {
        Assert.notNull(timeSource, "A time source");
        Assert.notNull(self, "An instance");
        Assert.notNull(traffic, "A traffic thread");
        Assert.notNull(control, "A control thread");
        Assert.notNull(flow, "A request path");
        Assert.notNull(limits, "Shared limits");
        Assert.notNull(loads, "Sources of the load");
        Assert.notNull(replica, "A replica");
        Assert.notNull(heartbeats, "Heartbeats");
        Assert.notNull(ready, "A readiness state");
        Assert.notNull(stopping, "A stopping state");
        Assert.notNull(decisions, "Recent decisions");
    }
}
