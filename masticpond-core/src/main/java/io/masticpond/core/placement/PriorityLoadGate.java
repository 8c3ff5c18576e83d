package io.masticpond.core.placement;

import io.masticpond.core.id.ServiceId;
import io.masticpond.core.limit.AdmissionDecision;
import io.masticpond.core.limit.AdmissionLimit;
import io.masticpond.core.limit.AdmissionLimitSettings;
import io.masticpond.core.limit.ServiceLoad;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import io.masticpond.core.support.Assert;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * {@link LoadGate} that refuses requests whose chosen backend server would answer too late, the
 * least urgent first.
 *
 * <p>Not thread-safe: confined to the traffic thread.
 *
 * @since 0.2
 */
public final class PriorityLoadGate implements LoadGate {

    private final AdmissionLimitSettings mSettings;
    private final UniformRandomProvider mRandom;
    private final Map<ServiceId, AdmissionLimit> mLimits = new HashMap<>();

    /**
     * Creates a gate.
     *
     * @param settings the settings with the expected wait that a request may have
     * @param random the source of randomness, which spreads the retries of clients
     */
    public PriorityLoadGate(AdmissionLimitSettings settings, UniformRandomProvider random) {
        mSettings = Assert.notNull(settings, "Settings of an admission limit");
        mRandom = Assert.notNull(random, "A source of randomness");
    }

    @Override
    public void retain(RoutingConfiguration configuration) {
        mLimits.keySet().retainAll(configuration.services().keySet());
    }

    @Override
    public void arrived(Route route, ServiceId service, long nowNanos) {
        limit(service).arrived(route, nowNanos);
    }

    @Override
    public Optional<AdmissionDecision> refuse(
            PlacementRequest request, ServerLoad chosen, long nowNanos) {
        ServiceLoad load =
                new ServiceLoad(
                        chosen.server().slots(),
                        (int) Math.floor(chosen.inFlight(nowNanos)),
                        (long) chosen.serviceNanos());
        AdmissionDecision decision =
                limit(request.service()).decide(request.route(), load, request.leftNanos());
        return decision.admitted() ? Optional.empty() : Optional.of(decision);
    }

    @Override
    public boolean admits(PlacementRequest request, double perSecond, long nowNanos) {
        return limit(request.service()).admits(request.route().priority(), perSecond, nowNanos);
    }

    @Override
    public long retryAfterNanos(PlacementRequest request, double perSecond, long nowNanos) {
        return limit(request.service()).retryAfterNanos(perSecond, request.leftNanos(), nowNanos);
    }

    private AdmissionLimit limit(ServiceId service) {
        return mLimits.computeIfAbsent(service, id -> new AdmissionLimit(mSettings, mRandom));
    }
}
