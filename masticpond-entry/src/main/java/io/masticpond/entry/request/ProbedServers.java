package io.masticpond.entry.request;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.placement.PlacementRequest;
import io.masticpond.core.placement.ServerLoad;
import io.masticpond.core.probe.ProbeObstacle;
import io.masticpond.core.probe.ProbeResult;
import io.masticpond.core.probe.ProbeTargets;
import io.masticpond.core.routing.ServiceRules;
import io.masticpond.core.statement.ServerStatement;
import io.masticpond.core.support.Assert;
import io.masticpond.entry.log.Exclusion;
import io.netty.handler.codec.http.HttpHeaders;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.ToLongFunction;

/**
 * The backend servers of the request path as targets of probes. What a server states in its answer
 * to a probe counts like that of any answer, but the probe itself counts neither as a request nor
 * as a success or failure. For use on the traffic thread only.
 *
 * @since 0.3
 */
public final class ProbedServers implements ProbeTargets {

    private final RequestFlow mFlow;
    private final ToLongFunction<ServiceId> mPersistence;

    /**
     * Creates the targets.
     *
     * @param flow the request path
     * @param persistence returns the age in nanoseconds from which on a load value of a service is
     *     out of date
     */
    public ProbedServers(RequestFlow flow, ToLongFunction<ServiceId> persistence) {
        mFlow = Assert.notNull(flow, "A request path");
        mPersistence = Assert.notNull(persistence, "A persistence of loads");
    }

    @Override
    public List<ServerLoad> servers(ServiceId service) {
        return mFlow.servers().of(service);
    }

    @Override
    public boolean allows(PlacementRequest request, ServerLoad server) {
        return request.route().homeRegions().isEmpty()
                || mFlow.servers()
                        .region(server.server())
                        .filter(request.route()::allows)
                        .isPresent();
    }

    @Override
    public Optional<ProbeObstacle> obstacle(ServerLoad server, long nowNanos) {
        if (mFlow.servers().isEvacuated(server.server().zone())) {
            return Optional.of(ProbeObstacle.EVACUATED);
        }
        Exclusion stated = mFlow.statements().exclusion(server, nowNanos);
        if (stated != null) {
            return Optional.of(
                    stated == Exclusion.PAUSED ? ProbeObstacle.PAUSED : ProbeObstacle.LEAVING);
        }
        if (server.isAvoided(nowNanos)) {
            return Optional.of(ProbeObstacle.AVOIDED);
        }
        if (mFlow.statements().limits().isLimited(server, nowNanos)) {
            return Optional.of(ProbeObstacle.LIMITED);
        }
        if (mFlow.coldGate().isCold(server.server(), nowNanos)) {
            return Optional.of(ProbeObstacle.COLD);
        }
        boolean isConnectionLeft = server.ownInFlight() + 1 < maximumConnections(server);
        return isConnectionLeft ? Optional.empty() : Optional.of(ProbeObstacle.CONNECTIONS_IN_USE);
    }

    @Override
    public long persistenceNanos(ServiceId service) {
        return mPersistence.applyAsLong(service);
    }

    /**
     * Returns the number of connections that this instance may hold to a server.
     *
     * @param server the server
     * @return the maximum
     */
    public int maximumConnections(ServerLoad server) {
        return mFlow.connectionShare(server.server().service());
    }

    /**
     * Takes the permit for a request to a server, if the server is cold, so that probes count in
     * its pace.
     *
     * @param server the server
     * @param nowNanos the monotonic time
     * @return whether the server may be probed
     */
    public boolean tryPermit(ServerLoad server, long nowNanos) {
        return !mFlow.coldGate().isCold(server.server(), nowNanos)
                || mFlow.state()
                        .rules(server.server().service())
                        .filter(
                                rules ->
                                        mFlow.coldGate()
                                                .tryAcquire(server.server(), rules, nowNanos))
                        .isPresent();
    }

    /**
     * Returns the path of the health check of a server.
     *
     * @param server the server
     * @return the path, or empty if the service of the server is not configured
     */
    public Optional<String> healthPath(ServerLoad server) {
        return mFlow.state().rules(server.server().service()).map(ServiceRules::healthPath);
    }

    /**
     * Applies what a server stated in its answer to a probe. The answer of a terminated run is
     * ignored.
     *
     * @param server the server
     * @param status the status of the answer
     * @param headers the headers of the answer
     * @param sentNanos the monotonic time at which the probe was sent
     * @return the result of the probe
     */
    public ProbeResult applyAnswer(
            ServerLoad server, int status, HttpHeaders headers, long sentNanos) {
        ServerStatement statement = mFlow.statements().read(server, status, headers);
        if (!server.isTerminated()) {
            mFlow.statements().applyAnswer(server, statement, sentNanos);
            applyColdTime(server, headers);
            statement
                    .load()
                    .ifPresent(load -> mFlow.placer().reported(server, load, mFlow.nowNanos()));
        }
        return statement.load().isPresent() ? ProbeResult.ANSWERED : ProbeResult.WITHOUT_LOAD;
    }

    /** Applies for how long a server states that it is cold, at most for its warm-up time. */
    private void applyColdTime(ServerLoad server, HttpHeaders headers) {
        Optional<Duration> stated = mFlow.statements().readColdTime(headers);
        if (stated.isPresent()) {
            Duration warmUp = mFlow.state().warmUp(server.server().service());
            Duration cold = stated.get().compareTo(warmUp) < 0 ? stated.get() : warmUp;
            server.registration().statedColdUntil(mFlow.nowNanos() + cold.toNanos());
        }
    }
}
