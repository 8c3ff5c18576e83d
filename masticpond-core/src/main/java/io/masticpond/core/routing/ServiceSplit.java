package io.masticpond.core.routing;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.id.ServiceId;
import io.masticpond.core.support.Assert;
import io.masticpond.core.support.HashMixer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * Divides the requests of each route among its services by weight.
 *
 * <p>Smooth weighted round robin: each service gains its weight with each request, the one with the
 * most credit is chosen and pays the sum of the weights. So the shares are right within any short
 * run of requests. A state machine for one thread.
 *
 * @since 0.2
 */
public final class ServiceSplit {

    /** The most steps that a sequence is moved on at its start. */
    private static final long MAXIMUM_OFFSET = 1_024;

    private final long mSeed;
    private final Map<RouteId, Sequence> mSequences = new HashMap<>();

    /**
     * Starts without any sequence.
     *
     * @param seed where the sequences start; differs between instances so that they do not choose
     *     in step
     */
    public ServiceSplit(long seed) {
        mSeed = seed;
    }

    /**
     * Chooses the service of the next request of a route.
     *
     * @param route the route
     * @return the service, or empty if all weights are zero
     */
    public Optional<ServiceId> choose(Route route) {
        Assert.notNull(route, "A route");
        List<WeightedService> services = route.services();
        if (services.size() == 1) {
            WeightedService only = services.get(0);
            return only.weight() > 0 ? Optional.of(only.service()) : Optional.empty();
        }
        Sequence sequence = mSequences.get(route.id());
        if (sequence == null || !sequence.mServices.equals(services)) {
            sequence = new Sequence(services);
            sequence.skip(offset(route.id()));
            mSequences.put(route.id(), sequence);
        }
        return Optional.ofNullable(sequence.next());
    }

    /**
     * Forgets the sequences of routes that are gone. The others go on as they were.
     *
     * @param configuration the configuration now in force
     */
    public void retain(RoutingConfiguration configuration) {
        Set<RouteId> present = new HashSet<>();
        configuration.routes().forEach(route -> present.add(route.id()));
        mSequences.keySet().retainAll(present);
    }

    private long offset(RouteId route) {
        double fraction = HashMixer.fraction(mSeed, HashMixer.hash(route.toString()));
        return (long) (fraction * MAXIMUM_OFFSET);
    }

    /** The sequence of one route. */
    private static final class Sequence {

        private final List<WeightedService> mServices;
        private final long[] mCredits;
        private final long mTotal;

        Sequence(List<WeightedService> services) {
            mServices = services;
            mCredits = new long[services.size()];
            mTotal = services.stream().mapToLong(WeightedService::weight).sum();
        }

        void skip(long steps) {
            for (long step = 0; step < steps; step++) {
                next();
            }
        }

        ServiceId next() {
            int best = -1;
            for (int index = 0; index < mCredits.length; index++) {
                int weight = mServices.get(index).weight();
                mCredits[index] += weight;
                if (weight > 0 && (best < 0 || mCredits[index] > mCredits[best])) {
                    best = index;
                }
            }
            if (best < 0) {
                return null;
            }
            mCredits[best] -= mTotal;
            return mServices.get(best).service();
        }
    }
}
