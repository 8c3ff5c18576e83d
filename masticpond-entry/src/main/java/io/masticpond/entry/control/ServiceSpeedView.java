package io.masticpond.entry.control;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import java.util.List;

/**
 * Snapshot of the speed of the backend servers of a service, for operators.
 *
 * @param service the service
 * @param persistenceNanos the time after which a reported speed has lost most of its meaning, in
 *     nanoseconds
 * @param slowServers the servers that are slow by their last reports
 * @since 0.3
 */
public record ServiceSpeedView(
        ServiceId service, long persistenceNanos, List<SlowServer> slowServers) {

    /** Checks the components and copies the list. */
    public ServiceSpeedView {
        Assert.notNull(service, "A service");
        slowServers = List.copyOf(slowServers);
    }

    /**
     * Backend server that is slow.
     *
     * @param server the server
     * @param slowdown the expected duration of work there, 1 is normal
     * @param ageNanos the age of the report that the expectation is based on, in nanoseconds
     * @since 0.3
     */
    public record SlowServer(BackendServerId server, double slowdown, long ageNanos) {}
}
