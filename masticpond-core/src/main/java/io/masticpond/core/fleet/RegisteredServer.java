package io.masticpond.core.fleet;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * A backend server as the registry of the platform tells of it.
 *
 * @param id the id of the server; it may start again under the same one
 * @param service the service that it serves
 * @param address where it listens
 * @param zone its availability zone
 * @param slots how many requests it runs at one time
 * @param leaving whether it wants no new requests
 * @param coldUntilNanos until when it is cold, on this process's monotonic clock; in the past or
 *     present if it is warm. Set when the news arrived.
 * @param run counts the runs that were seen under this id, from 0; what was learnt of a server
 *     holds for one run only
 * @since 0.2
 */
public record RegisteredServer(
        BackendServerId id,
        ServiceId service,
        ServerAddress address,
        ZoneId zone,
        int slots,
        boolean leaving,
        long coldUntilNanos,
        int run) {

    /** Checks that the parts are given. */
    public RegisteredServer {
        Assert.notNull(id, "A backend server id");
        Assert.notNull(service, "A service");
        Assert.notNull(address, "An address");
        Assert.notNull(zone, "A zone");
        Assert.positive(slots, "A number of slots");
        Assert.notNegative(run, "A count of runs");
    }

    /**
     * Makes a server of which one run was seen.
     *
     * @param id the id
     * @param service the service that it serves
     * @param address where it listens
     * @param zone its availability zone
     * @param slots how many requests it runs at one time
     * @param leaving whether it wants no new requests
     * @param coldUntilNanos until when it is cold, on this process's monotonic clock
     */
    public RegisteredServer(
            BackendServerId id,
            ServiceId service,
            ServerAddress address,
            ZoneId zone,
            int slots,
            boolean leaving,
            long coldUntilNanos) {
        this(id, service, address, zone, slots, leaving, coldUntilNanos, 0);
    }

    /**
     * Tells whether the server is cold.
     *
     * @param nowNanos the monotonic time
     * @return whether it is
     */
    public boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /**
     * Gives the same server, cold until another time.
     *
     * @param nanos until when, on this process's monotonic clock
     * @return the server
     */
    public RegisteredServer withColdUntil(long nanos) {
        return new RegisteredServer(id, service, address, zone, slots, leaving, nanos, run);
    }

    /**
     * Gives the same server in another run.
     *
     * @param number the count of the run
     * @return the server
     */
    public RegisteredServer withRun(int number) {
        return new RegisteredServer(
                id, service, address, zone, slots, leaving, coldUntilNanos, number);
    }

    /**
     * Tells whether another entry is of the same run, so that what was learnt still holds.
     *
     * @param other the other entry
     * @return whether id and run are the same
     */
    public boolean isSameRun(RegisteredServer other) {
        return run == other.run && id.equals(other.id);
    }

    /** Written out, since the one that records get is linked at its first use, in a start. */
    @Override
    public boolean equals(Object other) {
        return other instanceof RegisteredServer server
                && coldUntilNanos == server.coldUntilNanos
                && run == server.run
                && leaving == server.leaving
                && slots == server.slots
                && id.equals(server.id)
                && service.equals(server.service)
                && address.equals(server.address)
                && zone.equals(server.zone);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * id.hashCode() + address.hashCode()) + Long.hashCode(coldUntilNanos);
    }
}
