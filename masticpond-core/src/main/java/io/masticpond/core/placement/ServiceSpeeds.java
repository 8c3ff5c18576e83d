package io.masticpond.core.placement;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.loadcontrol.LoadControlActivation;
import io.masticpond.core.speed.ServerSpeed;
import io.masticpond.core.speed.ServiceSpeed;
import io.masticpond.core.speed.SpeedPersistence;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Speeds of the servers of all services, as learned from the loads that the servers report.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.3
 */
public final class ServiceSpeeds {

    /** Approximate age of a value when the report of another instance arrives. */
    private static final long PEER_REPORT_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    private final LoadControlActivation mActivation;
    private final RoundTrips mRoundTrips = new RoundTrips();
    private final Map<ServiceId, ServiceSpeed> mServices = new HashMap<>();

    /**
     * Creates the speeds without values.
     *
     * @param activation the rule that determines for which services they are used
     */
    public ServiceSpeeds(LoadControlActivation activation) {
        mActivation = Assert.notNull(activation, "A rule of activation");
    }

    /**
     * Determines whether choices for a service are based on speeds.
     *
     * @param service the service
     * @param nowNanos the current monotonic time
     * @return whether load control is active for the service
     */
    public boolean isActive(ServiceId service, long nowNanos) {
        return mActivation.isActive(service, nowNanos);
    }

    /**
     * Returns the speed of a service.
     *
     * @param service the service
     * @return the speed, or {@code null} if nothing is known of the service
     */
    public ServiceSpeed of(ServiceId service) {
        return mServices.get(service);
    }

    RoundTrips roundTrips() {
        return mRoundTrips;
    }

    /** Records a load that a server reported to this instance. */
    void recordAnswer(ServerLoad server, ReportedLoad load, long nowNanos) {
        ServiceId service = server.server().service();
        if (load.timePercent().isPresent()) {
            mActivation.recordTimeReport(service, nowNanos);
        }
        if (isActive(service, nowNanos)) {
            ServiceSpeed speed = mServices.computeIfAbsent(service, id -> new ServiceSpeed());
            double requests = (double) load.running() + load.waiting();
            speed.recordOccupancy(
                    Math.min(ServerLoad.MAXIMUM_REQUESTS_PER_SLOT, requests / load.slots()));
            load.timePercent()
                    .ifPresent(percent -> speed.record(server.speed(), percent, nowNanos));
        }
    }

    /**
     * Records a load that a server reported to another instance. Other instances report mainly slow
     * servers, so the mean of the service is not learned from it.
     */
    void recordPeerReport(ServerLoad server, ReportedLoad load, long nowNanos) {
        if (load.timePercent().isPresent()) {
            mActivation.recordTimeReport(server.server().service(), nowNanos);
            server.speed().record(load.timePercent().getAsInt(), nowNanos - PEER_REPORT_AGE_NANOS);
        }
    }

    /**
     * Records a successful answer, from which the run times of the route are learned unless
     * requests waited for a slot at the server.
     *
     * @param choice the choice of the server
     * @param route the route
     * @param load the load that the server reported with the answer, or empty
     * @param nanos the time from the sending to the answer
     * @param roundTripNanos a measured round trip to the server, 0 if none is known
     * @param nowNanos the current monotonic time
     */
    public void recordRun(
            ServerChoice choice,
            RouteId route,
            Optional<ReportedLoad> load,
            long nanos,
            long roundTripNanos,
            long nowNanos) {
        ServerLoad server = choice.load();
        ServiceId service = server.server().service();
        if (server.isTerminated() || !isActive(service, nowNanos)) {
            return;
        }
        if (roundTripNanos > 0) {
            mRoundTrips.record(server.distance(), roundTripNanos);
        }
        ServiceSpeed speed = mServices.get(service);
        if (speed != null && load.isPresent() && load.get().waiting() == 0) {
            double slowdown =
                    load.get().timePercent().isPresent()
                            ? ServerSpeed.slowdown(load.get().timePercent().getAsInt())
                            : 1;
            double runNanos = nanos - mRoundTrips.nanos(server.distance());
            speed.recordRun(route, choice.rank(), runNanos, slowdown);
        }
    }

    /** Determines whether a reported slowdown is far above the mean of the service. */
    boolean isSlow(ServerLoad server, ReportedLoad load) {
        return load.timePercent().isPresent()
                && isSlow(
                        server.server().service(),
                        ServerSpeed.slowdown(load.timePercent().getAsInt()));
    }

    /**
     * Determines whether a slowdown is far above the mean of a service.
     *
     * @param service the service
     * @param slowdown the slowdown of a server, 1 is normal
     * @return whether it exceeds the mean by the configured factor; false if the mean is unknown
     */
    public boolean isSlow(ServiceId service, double slowdown) {
        ServiceSpeed speed = mServices.get(service);
        return speed != null
                && slowdown > mActivation.settings().slowFactor() * speed.meanSlowdown();
    }

    /**
     * Returns how long a reported slowdown of a server remains meaningful.
     *
     * @param service the service
     * @return nanoseconds, the default if nothing is known of the service
     */
    public long persistenceNanos(ServiceId service) {
        ServiceSpeed speed = mServices.get(service);
        return speed == null ? SpeedPersistence.DEFAULT_NANOS : speed.persistence().nanos();
    }

    /** Removes services that are no longer configured. */
    void retain(Set<ServiceId> services) {
        mServices.keySet().retainAll(services);
        mActivation.retain(services);
    }
}
