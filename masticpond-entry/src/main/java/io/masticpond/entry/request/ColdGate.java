package io.masticpond.entry.request;

import io.masticpond.core.fleet.RegisteredServer;
import io.masticpond.core.routing.ServiceRules;

/**
 * Strategy interface that decides whether a cold backend server may be sent another request by this
 * instance now.
 *
 * @since 0.2
 */
public interface ColdGate {

    /**
     * Determines whether a server is to be treated as cold.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether the server is cold
     */
    boolean isCold(RegisteredServer server, long nowNanos);

    /**
     * Tries to acquire a permit for one request.
     *
     * @param server the cold server
     * @param rules the rules of its service
     * @param nowNanos the monotonic time
     * @return whether the request may be sent there; if so, the permit is used up
     */
    boolean tryAcquire(RegisteredServer server, ServiceRules rules, long nowNanos);
}
