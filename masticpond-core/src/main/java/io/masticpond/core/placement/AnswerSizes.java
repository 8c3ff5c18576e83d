package io.masticpond.core.placement;

import io.masticpond.core.id.RouteId;
import io.masticpond.core.routing.Route;
import io.masticpond.core.routing.RoutingConfiguration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Moving averages of the observed answer sizes of each route, and the round trips that they add to
 * a distance. A connection sends some 14,600 bytes before it waits for an acknowledgement (ten
 * segments, RFC 6928), and twice as many in each further round trip; so an answer of 90 kB crosses
 * regions in three round trips instead of one. Large answers also use the links between regions,
 * which are the most expensive ones.
 *
 * <p>Not thread-safe: confined to one thread.
 *
 * @since 0.2
 */
final class AnswerSizes {

    private static final double INITIAL_WINDOW_BYTES = 14_600;
    private static final double SMOOTHING_FACTOR = 0.1;

    /**
     * Maximum number of tracked routes, which bounds the memory; answers of further routes count as
     * small.
     */
    private static final int MAXIMUM_ROUTES = 10_000;

    private final Map<RouteId, Double> mMeanBytes = new HashMap<>();

    /** Records the size of an answer. */
    void recordSize(RouteId route, long bytes) {
        Double previousMean = mMeanBytes.get(route);
        if (previousMean != null) {
            mMeanBytes.put(route, previousMean + SMOOTHING_FACTOR * (bytes - previousMean));
        } else if (mMeanBytes.size() < MAXIMUM_ROUTES) {
            mMeanBytes.put(route, (double) bytes);
        }
    }

    /**
     * Returns the number of round trips that an answer takes after the first. Only whole round
     * trips are counted, so that all instances agree although each has observed different answers.
     */
    int furtherRounds(RouteId route) {
        double rounds = 1 + mMeanBytes.getOrDefault(route, 0.0) / INITIAL_WINDOW_BYTES;
        return Math.getExponent(rounds);
    }

    /** Removes routes that are no longer configured. */
    void retain(RoutingConfiguration configuration) {
        Set<RouteId> present =
                configuration.routes().stream().map(Route::id).collect(Collectors.toSet());
        mMeanBytes.keySet().retainAll(present);
    }
}
