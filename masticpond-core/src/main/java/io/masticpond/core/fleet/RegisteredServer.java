package io.masticpond.core.fleet;

import io.masticpond.core.id.BackendServerId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.id.ZoneId;
import io.masticpond.core.support.Assert;

/**
 * Entry of a backend server in the platform's registry.
 *
 * @param id the id of the server; it may restart under the same id
 * @param service the service that it serves
 * @param address the address on which it listens
 * @param zone its availability zone
 * @param slots the maximum number of requests that it runs concurrently
 * @param leaving whether it accepts no new requests
 * @param coldUntilNanos the time until which it is cold, on this process's monotonic clock; in the
 *     past or present if it is warm. Set when the update was received.
 * @param run the number of the run under this id, counted from 0 by this process; statistics
 *     collected for a server are valid for one run only
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

    /** Validates the components. */
    public RegisteredServer {
        Assert.notNull(id, "A backend server id");
        Assert.notNull(service, "A service");
        Assert.notNull(address, "An address");
        Assert.notNull(zone, "A zone");
        Assert.positive(slots, "A number of slots");
        Assert.notNegative(run, "A count of runs");
    }

    /**
     * Creates an entry for the first observed run of a server.
     *
     * @param id the id
     * @param service the service that it serves
     * @param address the address on which it listens
     * @param zone its availability zone
     * @param slots the maximum number of requests that it runs concurrently
     * @param leaving whether it accepts no new requests
     * @param coldUntilNanos the time until which it is cold, on this process's monotonic clock
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
     * Determines whether the server is cold.
     *
     * @param nowNanos the current monotonic time in nanoseconds
     * @return {@code true} if the server is cold
     */
    public boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }

    /**
     * Returns a copy of this entry that is cold until another time.
     *
     * @param nanos the time until which it is cold, on this process's monotonic clock
     * @return the copy
     */
    public RegisteredServer withColdUntil(long nanos) {
        return new RegisteredServer(id, service, address, zone, slots, leaving, nanos, run);
    }

    /**
     * Returns a copy of this entry for another run.
     *
     * @param number the number of the run
     * @return the copy
     */
    public RegisteredServer withRun(int number) {
        return new RegisteredServer(
                id, service, address, zone, slots, leaving, coldUntilNanos, number);
    }

    /**
     * Determines whether another entry describes the same run, so that statistics collected for it
     * remain valid.
     *
     * @param other the other entry
     * @return {@code true} if id and run are equal
     */
    public boolean isSameRun(RegisteredServer other) {
        return run == other.run && id.equals(other.id);
    }

    /**
     * Implemented explicitly because the {@code equals} that the compiler generates for a record is
     * linked at its first use, which costs time during startup.
     */
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
