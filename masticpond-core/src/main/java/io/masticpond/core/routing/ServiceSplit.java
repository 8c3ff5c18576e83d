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
 * Weighted distribution of the requests of each route among its services.
 *
 * <p>Uses smooth weighted round robin: with each request the credit of each service grows by its
 * weight, and the service with the most credit is chosen and charged the sum of the weights. The
 * shares are therefore accurate within any short sequence of requests. Not thread-safe.
 *
 * @since 0.2
 */
public final class ServiceSplit {

    /** The exclusive upper bound of the number of steps by which a new sequence is advanced. */
    private static final long MAXIMUM_OFFSET = 1_024;

    private final long mSeed;
    private final Map<RouteId, Sequence> mSequences = new HashMap<>();

    /**
     * Creates a split without any sequences.
     *
     * @param seed the seed for the start of the sequences; it differs between instances so that
     *     they do not choose services in lockstep
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
            WeightedService single = services.get(0);
            return single.weight() > 0 ? Optional.of(single.service()) : Optional.empty();
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
     * Removes the sequences of routes that the configuration no longer contains. The other
     * sequences continue unchanged.
     *
     * @param configuration the configuration now in force
     */
    public void retain(RoutingConfiguration configuration) {
        Set<RouteId> retained = new HashSet<>();
        configuration.routes().forEach(route -> retained.add(route.id()));
        mSequences.keySet().retainAll(retained);
    }

    private long offset(RouteId route) {
        double fraction = HashMixer.fraction(mSeed, HashMixer.hash(route.toString()));
        return (long) (fraction * MAXIMUM_OFFSET);
    }

    /** Sequence of chosen services of one route. */
    private static final class Sequence {

        private final List<WeightedService> mServices;
        private final long[] mCredits;
        private final long mTotalWeight;

        Sequence(List<WeightedService> services) {
            mServices = services;
            mCredits = new long[services.size()];
            mTotalWeight = services.stream().mapToLong(WeightedService::weight).sum();
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
            mCredits[best] -= mTotalWeight;
            return mServices.get(best).service();
        }
    }
}
